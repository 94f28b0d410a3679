// Purpose: row of an organisation's claim to capacity within its upper limit.
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
    resources withheld_;        // left unused for another shard's claim
    bool      granted_ = false; // this shard's claim is the active one
    instant   next_check_at_;   // next search for work that needs a claim

    // The claim
    stage_key    stage_; // empty job: there is no claim
    std::int64_t since_unix_ms_ = 0;
    resources    demand_;
    std::int64_t waiting_ = 0; // waiting tasks when it was made
    instant      granted_at_ = instant::never(); // since when it is active
};

} // namespace fescuevane::plan

#endif
