// Purpose: row of a stage that looks for a shard which can run it.
#ifndef FESCUEVANE_CELL_OFFER_ROUND_ROW_HPP
#define FESCUEVANE_CELL_OFFER_ROUND_ROW_HPP

#include "cell/shard_offer.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace fescuevane::cell
{

// In a round all other shards are asked at the same moment.
struct offer_round_row
{
    shard_id                          shard_; // of the stage
    bool                              open_ = false;
    instant                           answer_by_;
    std::map<std::uint64_t, shard_id> asked_; // by request, without an answer
    std::vector<shard_offer>          offers_;
    std::uint32_t                     rounds_ = 0; // since the stage waits
    instant                           next_at_;    // next round
    instant                           forget_at_;
};

} // namespace fescuevane::cell

#endif
