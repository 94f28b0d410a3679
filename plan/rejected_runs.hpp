// Purpose: tasks with a run that this owner has rejected and is stopping.
#ifndef FESCUEVANE_PLAN_REJECTED_RUNS_HPP
#define FESCUEVANE_PLAN_REJECTED_RUNS_HPP

#include "core/stage_key.hpp"

#include <cstdint>
#include <map>
#include <set>

namespace fescuevane::plan
{

struct planner;

// Indices of the tasks by their original stage: the job that a run was reported
// for may be another delegate of the task than the one that waits.
struct rejected_runs
{
    std::map<stage_key, std::set<std::uint32_t>> const tasks_;

    friend bool operator==(rejected_runs const&,
                           rejected_runs const&) = default;
};

rejected_runs find_rejected_runs(planner const& context);

// True while a rejected run of the task may go on, so that a start would be a
// second run. All tasks of a gang wait for the rejected runs of any of them;
// speculative tasks may have several runs. The stage must be open.
bool may_run_rejected(planner const& context, rejected_runs const& rejected,
                      stage_key const& stage, std::uint32_t index);

// The same for any task of the stage.
bool may_run_rejected(planner const& context, rejected_runs const& rejected,
                      stage_key const& stage);

} // namespace fescuevane::plan

#endif
