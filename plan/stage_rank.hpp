// Purpose: order in which stages get room.
#ifndef FESCUEVANE_PLAN_STAGE_RANK_HPP
#define FESCUEVANE_PLAN_STAGE_RANK_HPP

#include "core/stage_key.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace fescuevane::plan
{

struct planner;

// Lower ranks go first. A job earns in full until its objective, a part of that
// until three times as late, then nothing; so work that still meets its
// objective goes before work that can't.
struct stage_rank
{
    std::int32_t lateness_ = 0; // 0 on time, 1 late, 2 worth nothing
    std::int32_t priority_ = 0; // of the queue
    std::int64_t slack_ms_ = 0; // until the last start that is on time
    stage_key    stage_;

    friend auto operator<=>(stage_rank const&, stage_rank const&) = default;
};

stage_rank rank_stage(planner const& context, stage_key const& stage);

// Startable stages with a waiting task, best rank first.
std::vector<stage_rank> rank_waiting_stages(planner const& context);

} // namespace fescuevane::plan

#endif
