// Purpose: row of a run that was ordered and hasn't ended.
#ifndef FESCUEVANE_PLAN_RUN_ROW_HPP
#define FESCUEVANE_PLAN_RUN_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/resources.hpp"
#include "core/stage_key.hpp"
#include "plan/run_phase.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::plan
{

struct run_row
{
    target_id       target_;
    stage_key       origin_; // stage that the task belonged to first
    organisation_id organisation_;
    resources       demand_; // charged to organisation and target
    run_phase       phase_ = run_phase::starting;
    bool            filler_ = false;
    bool            lasting_ = false; // doesn't end by itself
    std::int64_t    latency_target_ms_ = 0;
    std::string     image_;
    instant         started_at_;
    bool            resumed_ = false; // from a checkpoint
    instant         progressed_at_;   // percent last rose
    std::int32_t    percent_ = 0;
    std::int32_t    base_percent_ = -1; // progress at `base_at_`, -1: unknown
    instant         base_at_;
    std::int64_t    load_ = 0;   // latest report
    std::int32_t    pace_ = 100; // of a filler
    instant         pace_after_; // next raise of the pace
};

} // namespace fescuevane::plan

#endif
