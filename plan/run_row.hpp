// Purpose: row of a run that was ordered and hasn't ended.
#ifndef FESCUEVANE_PLAN_RUN_ROW_HPP
#define FESCUEVANE_PLAN_RUN_ROW_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/stage_key.hpp"
#include "plan/run_state.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::plan
{

// These members don't change from the start to the end of the run; the run
// table indexes its rows by some of them.
struct run_row : run_state
{
    target_id       target_;
    stage_key       origin_; // stage of the task before any delegation
    organisation_id organisation_;
    resources       demand_; // charged to organisation and target
    bool            filler_ = false;
    bool            lasting_ = false;     // doesn't end by itself
    bool            speculative_ = false; // may have a speculative copy
    bool            resumed_ = false;     // from a checkpoint
    std::int64_t    latency_target_ms_ = 0;
    std::string     image_;
};

} // namespace fescuevane::plan

#endif
