// Purpose: state of one gang part, as known to the gang's shard.
#ifndef FESCUEVANE_CELL_SPREAD_PART_HPP
#define FESCUEVANE_CELL_SPREAD_PART_HPP

#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct spread_part
{
    instant       ready_until_; // reported to have room and tickets until then
    bool          started_ = false;
    bool          ended_ = false; // ended, won't start
    std::uint64_t request_ = 0;   // in flight, 0: none
    instant       next_at_;       // next call, even without a reply
};

} // namespace fescuevane::cell

#endif
