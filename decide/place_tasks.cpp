// Purpose: the systems that expire queued work and place it on targets.
#include "decide/scheduler.hpp"

#include <optional>

namespace fescuevane::decide
{
namespace
{

std::optional<std::size_t> find_target(target_table const& targets,
                                       resources const&    demand)
{
    for (std::size_t row = 0; row < targets.index_.size(); ++row)
    {
        if (targets.accepts_[row] != 0 && targets.free_slots_[row] > 0 &&
            demand.fits_in(targets.free_[row]))
        {
            return row;
        }
    }
    return std::nullopt;
}

void dispatch_task(scheduler& context, std::size_t task, std::size_t target)
{
    task_key const& key = context.tasks_.index_.key(task);
    auto const      job = context.jobs_.index_.find(key.job_);
    target_id const chosen = context.targets_.index_.key(target);
    resources const amount = context.tasks_.reservation_[task];
    reserve_on_target(context.targets_, target, amount);
    context.tasks_.phase_[task] = task_phase::dispatched;
    context.tasks_.target_[task] = chosen;
    context.outbox_.push_back(
        start_task{key, chosen, context.jobs_.spec_[*job], amount});
}

} // namespace

void expire_deadlines(scheduler& context)
{
    for (std::size_t row = context.jobs_.index_.size(); row-- > 0;)
    {
        if (context.jobs_.keep_deadline_[row] <= context.now_)
        {
            remove_job(context.jobs_, row);
        }
    }
}

void place_tasks(scheduler& context)
{
    for (std::size_t row = 0; row < context.tasks_.index_.size(); ++row)
    {
        if (context.tasks_.phase_[row] != task_phase::queued)
        {
            continue;
        }
        auto const target =
            find_target(context.targets_, context.tasks_.reservation_[row]);
        if (target)
        {
            dispatch_task(context, row, *target);
        }
    }
}

} // namespace fescuevane::decide
