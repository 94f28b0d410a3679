// Purpose: row of a stage that is offered to other shards.
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

// Each round sends the offer to all eligible shards at once.
struct offer_round_row
{
    shard_id shard_; // of the stage
    bool     open_ = false;
    instant  answer_by_;
    // By request, not replied yet
    std::map<std::uint64_t, shard_id> awaiting_reply_;
    std::vector<shard_offer>          offers_;
    std::uint32_t rounds_ = 0; // rounds since the stage began to wait
    instant       next_at_;    // start of the next round
    instant       forget_at_;
};

} // namespace fescuevane::cell

#endif
