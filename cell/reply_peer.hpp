// Purpose: command: reply to a call of another host.
#ifndef FESCUEVANE_CELL_REPLY_PEER_HPP
#define FESCUEVANE_CELL_REPLY_PEER_HPP

#include "cell/job_answer.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct reply_peer
{
    std::uint64_t const call_ = 0;
    job_answer const    answer_;

    friend bool operator==(reply_peer const&, reply_peer const&) = default;
};

} // namespace fescuevane::cell

#endif
