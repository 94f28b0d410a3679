// Purpose: event: another host forwarded a call.
#ifndef FESCUEVANE_CELL_PEER_CALLED_HPP
#define FESCUEVANE_CELL_PEER_CALLED_HPP

#include "cell/job_call.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct peer_called
{
    std::uint64_t const call_ = 0;
    job_call const      request_;

    friend bool operator==(peer_called const&, peer_called const&) = default;
};

} // namespace fescuevane::cell

#endif
