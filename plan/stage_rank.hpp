// Purpose: order in which waiting stages are placed.
#ifndef FESCUEVANE_PLAN_STAGE_RANK_HPP
#define FESCUEVANE_PLAN_STAGE_RANK_HPP

#include "core/stage_key.hpp"

#include <compare>
#include <cstdint>
#include <vector>

namespace fescuevane::plan
{

struct job_row;
struct planner;

// A job that ends later than this multiple of its objective has no value left.
constexpr double zero_value_factor = 3;

// Lower ranks are placed first. A job has its full value until its objective, a
// part of it until three times its objective, then none; so work that can still
// meet its objective precedes work that can't.
struct stage_rank
{
    // -1 in its turn, 0 on time, 1 late, 2 no value left; 2 more above the rate
    std::int32_t lateness_ = 0;
    std::int32_t priority_ = 0; // of the queue
    std::int64_t slack_ms_ = 0; // until the last start that meets the objective
    stage_key    stage_;

    friend auto operator<=>(stage_rank const&, stage_rank const&) = default;
};

// Estimates the critical paths of a job from the expected run times.
void estimate_critical_path(planner const& context, job_row& job);

// Added to the lateness of jobs above their organisation's rate, which rank
// behind late ones.
constexpr std::int32_t over_rate_lateness = 2;

stage_rank rank_stage(planner const& context, stage_key const& stage);

// Startable stages with a waiting task, those in their turn first, then by
// rank.
std::vector<stage_rank> rank_waiting_stages(planner const& context);

} // namespace fescuevane::plan

#endif
