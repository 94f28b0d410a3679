// Purpose: stops tasks of teams that use more than their allotment.
#include "decide/reclaim.hpp"
#include "decide/scheduler.hpp"
#include "decide/task_flow.hpp"

#include <array>
#include <vector>

namespace fescuevane::decide
{
namespace
{

// Kinds in the order in which they are stopped. Requests end by themselves.
constexpr std::array<work_kind, 3> stop_order = {
    work_kind::batch, work_kind::gang, work_kind::service};

// Newest first: the least progress is lost.
void stop_newest(scheduler& context, std::size_t team, work_kind kind,
                 resources& kept)
{
    auto const& running =
        context.teams_.running_[team][static_cast<std::size_t>(kind)];
    resources const allotment = *context.teams_.allotment_[team];
    for (auto entry = running.rbegin();
         entry != running.rend() && !kept.fits_in(allotment); ++entry)
    {
        auto const task = context.tasks_.index_.find(entry->second);
        if (context.tasks_.phase_[*task] != task_phase::stopping)
        {
            kept = kept - context.tasks_.reservation_[*task];
            stop_running_task(context, *task, stop_cause::reclaimed, true);
        }
    }
}

} // namespace

void enforce_allotments(scheduler& context)
{
    for (std::size_t team = 0; team < context.teams_.index_.size(); ++team)
    {
        auto const& allotment = context.teams_.allotment_[team];
        if (!allotment || context.teams_.used_[team].fits_in(*allotment))
        {
            continue;
        }
        // What remains when every stop that was sent has taken effect.
        resources kept =
            context.teams_.used_[team] - context.teams_.stopping_[team];
        for (work_kind const kind : stop_order)
        {
            stop_newest(context, team, kind, kept);
        }
    }
}

} // namespace fescuevane::decide
