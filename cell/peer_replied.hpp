// Purpose: event: another host replied to a call.
#ifndef FESCUEVANE_CELL_PEER_REPLIED_HPP
#define FESCUEVANE_CELL_PEER_REPLIED_HPP

#include "cell/job_answer.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct peer_replied
{
    std::uint64_t const request_ = 0;
    job_answer const    answer_;

    friend bool operator==(peer_replied const&, peer_replied const&) = default;
};

} // namespace fescuevane::cell

#endif
