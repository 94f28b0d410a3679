// Purpose: row of an organisation's claim to room within its upper limit.
#ifndef FESCUEVANE_PLAN_CLAIM_ROW_HPP
#define FESCUEVANE_PLAN_CLAIM_ROW_HPP

#include "core/instant.hpp"
#include "core/resources.hpp"
#include "core/stage_key.hpp"

#include <cstdint>

namespace fescuevane::plan
{

struct claim_row
{
    resources limit_;           // of the whole cell, 0: no limit
    resources withheld_;        // left unused for the claim of another shard
    bool      granted_ = false; // it is the turn of this shard's claim
    instant   next_check_at_;   // next look for work that needs a claim

    // The claim
    stage_key    stage_; // without a job: none
    std::int64_t since_unix_ms_ = 0;
    resources    demand_;
    std::int64_t waiting_ = 0;                   // tasks when it was made
    instant      granted_at_ = instant::never(); // begin of its turn
};

} // namespace fescuevane::plan

#endif
