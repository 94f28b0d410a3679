// Purpose: the part of a run's row that changes during the run.
#ifndef FESCUEVANE_PLAN_RUN_STATE_HPP
#define FESCUEVANE_PLAN_RUN_STATE_HPP

#include "core/instant.hpp"
#include "plan/run_phase.hpp"

#include <cstdint>

namespace fescuevane::plan
{

struct run_state
{
    run_phase    phase_ = run_phase::starting;
    instant      started_at_;
    instant      progressed_at_; // latest increase of `percent_`
    std::int32_t percent_ = 0;
    std::int32_t base_percent_ = -1; // progress at `base_at_`, -1: unknown
    instant      base_at_;
    std::int64_t load_ = 0;   // from the latest report
    std::int32_t pace_ = 100; // percentage for a filler
    instant      pace_after_; // earliest next change of the pace
};

} // namespace fescuevane::plan

#endif
