// Purpose: use of learnt run times by a planner.
#ifndef FESCUEVANE_PLAN_LEARN_RUN_TIMES_HPP
#define FESCUEVANE_PLAN_LEARN_RUN_TIMES_HPP

#include "core/run_key.hpp"
#include "core/stage_key.hpp"
#include "plan/run_time_estimate.hpp"

#include <cstdint>

namespace fescuevane::plan
{

struct job_row;
struct planner;
struct run_row;

// Adds a finished, whole run to the models and to their errors.
void learn_from_run(planner& context, run_key const& key, run_row const& run,
                    double ran_ms);

bool uses_shared_run_times(planner const& context);

// Estimate of one task from the model of all shards.
run_time_estimate estimate_step(planner const& context, job_row const& job,
                                std::uint32_t step);
// The same, with the ended tasks of the stage.
run_time_estimate estimate_stage(planner const& context, stage_key const& key);

} // namespace fescuevane::plan

#endif
