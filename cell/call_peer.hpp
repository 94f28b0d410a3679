// Purpose: command: forward a call to another host.
#ifndef FESCUEVANE_CELL_CALL_PEER_HPP
#define FESCUEVANE_CELL_CALL_PEER_HPP

#include "cell/job_call.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct call_peer
{
    std::uint64_t const request_ = 0;
    std::string const   address_;
    job_call const      call_;

    friend bool operator==(call_peer const&, call_peer const&) = default;
};

} // namespace fescuevane::cell

#endif
