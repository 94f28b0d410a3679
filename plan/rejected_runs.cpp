// Purpose: tasks with a run that this owner has rejected and is stopping.
#include "plan/rejected_runs.hpp"

#include "plan/job_flow.hpp"
#include "plan/planner.hpp"

#include <utility>

namespace fescuevane::plan
{
namespace
{

// Index of a task in its original stage.
std::uint32_t original_index(job_row const& job, std::uint32_t index)
{
    auto const& alias = job.spec_->alias_;
    return alias && index < alias->indices_.size() ? alias->indices_[index]
                                                   : index;
}

} // namespace

rejected_runs find_rejected_runs(planner const& context)
{
    std::map<stage_key, std::set<std::uint32_t>> tasks;
    for (target_row const& target : context.targets_)
    {
        for (run_key const& run : target.unknown_runs_)
        {
            job_row const* const job = context.jobs_.find(run.stage_.job_);
            if (job == nullptr)
            {
                tasks[run.stage_].insert(run.index_);
                continue;
            }
            tasks[origin_of(*job, run.stage_)].insert(
                original_index(*job, run.index_));
        }
    }
    return {std::move(tasks)};
}

namespace
{

// Indices with rejected runs of the original stage, or null.
std::set<std::uint32_t> const* find_indices(planner const&       context,
                                            rejected_runs const& rejected,
                                            stage_key const&     stage)
{
    if (rejected.tasks_.empty() || find_step(context, stage).speculative_)
    {
        return nullptr;
    }
    auto const found =
        rejected.tasks_.find(origin_of(*context.jobs_.find(stage.job_), stage));
    return found == rejected.tasks_.end() ? nullptr : &found->second;
}

} // namespace

bool may_run_rejected(planner const& context, rejected_runs const& rejected,
                      stage_key const& stage, std::uint32_t index)
{
    std::set<std::uint32_t> const* const found =
        find_indices(context, rejected, stage);
    return found != nullptr && (find_step(context, stage).gang_ ||
                                found->contains(original_index(
                                    *context.jobs_.find(stage.job_), index)));
}

bool may_run_rejected(planner const& context, rejected_runs const& rejected,
                      stage_key const& stage)
{
    job_row const& job = *context.jobs_.find(stage.job_);
    auto const     count = job.spec_->steps_[stage.step_].count_;
    for (std::uint32_t index = 0; index < count && !rejected.tasks_.empty();
         ++index)
    {
        if (may_run_rejected(context, rejected, stage, index))
        {
            return true;
        }
    }
    return false;
}

} // namespace fescuevane::plan
