// Purpose: row of a stage that is offered to other shards.
#ifndef FESCUEVANE_CELL_OFFER_ROUND_ROW_HPP
#define FESCUEVANE_CELL_OFFER_ROUND_ROW_HPP

#include "cell/shard_offer.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"

#include <cstdint>
#include <map>
#include <set>
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
    std::set<shard_id>       unanswered_; // asked, no reply with an answer
    std::vector<shard_offer> offers_;
    // Shards with incomplete answers are asked again in this interval.
    instant       repeat_at_;
    instant       repeat_until_;
    std::uint32_t repeats_ = 0; // of this round
    std::uint32_t rounds_ = 0;  // rounds since the stage began to wait
    instant       next_at_;     // start of the next round
    instant       forget_at_;
};

} // namespace fescuevane::cell

#endif
