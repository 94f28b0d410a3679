// Purpose: what the shard of a gang knows of one part of it.
#ifndef FESCUEVANE_CELL_SPREAD_PART_HPP
#define FESCUEVANE_CELL_SPREAD_PART_HPP

#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct spread_part
{
    instant       ready_until_; // it has room and tickets, as it told
    bool          started_ = false;
    bool          over_ = false; // it won't start
    std::uint64_t request_ = 0;  // in flight, 0: none
    instant       next_at_;      // of the next call, also without an answer
};

} // namespace fescuevane::cell

#endif
