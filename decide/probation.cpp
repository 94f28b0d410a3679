// Purpose: tells targets that fail every job from jobs that fail everywhere.
#include "decide/probation.hpp"

#include "decide/scheduler.hpp"

#include <algorithm>

namespace fescuevane::decide
{
namespace
{

// A job that failed at two targets is at fault itself: its first failure no
// longer counts against the first target.
bool is_fault_of_job(scheduler& context, std::size_t job,
                     target_id const& target)
{
    target_id& first = context.jobs_.failed_on_[job];
    if (first.empty())
    {
        first = target;
        return false;
    }
    if (first == target)
    {
        return false;
    }
    auto const row = context.targets_.index_.find(first);
    if (row &&
        context.targets_.failed_job_[*row] == context.jobs_.index_.key(job) &&
        context.targets_.failures_[*row] > 0)
    {
        --context.targets_.failures_[*row];
        context.targets_.failed_job_[*row] = job_key();
    }
    return true;
}

void begin_probation(scheduler& context, std::size_t target)
{
    target_table&     targets = context.targets_;
    std::size_t const count = targets.index_.size();
    std::size_t const bound = std::max<std::size_t>(
        count * context.settings_.probation_max_percent_ / 100,
        count > 1 ? 1 : 0);
    if (targets.probation_deadline_[target] != instant() ||
        targets.on_probation_ >= bound)
    {
        return;
    }
    instant const end = context.now_.after(context.settings_.probation_micros_);
    targets.probation_deadline_[target] = end;
    ++targets.on_probation_;
    update_room(targets, target);
    add_timer(context.timers_, end, timer_kind::probation, {},
              targets.index_.key(target));
}

} // namespace

void note_task_end(scheduler& context, std::size_t job, target_id const& target,
                   bool failed)
{
    auto const row = context.targets_.index_.find(target);
    if (!row)
    {
        return;
    }
    if (!failed)
    {
        context.targets_.failures_[*row] = 0;
        context.targets_.failed_job_[*row] = job_key();
        return;
    }
    job_key const& key = context.jobs_.index_.key(job);
    if (is_fault_of_job(context, job, target) ||
        context.targets_.failed_job_[*row] == key)
    {
        return;
    }
    context.targets_.failed_job_[*row] = key;
    if (++context.targets_.failures_[*row] >=
        context.settings_.probation_failures_)
    {
        begin_probation(context, *row);
    }
}

void end_probation(scheduler& context, std::size_t target)
{
    target_table& targets = context.targets_;
    targets.probation_deadline_[target] = instant();
    targets.failures_[target] = context.settings_.probation_failures_ - 1;
    --targets.on_probation_;
    update_room(targets, target);
    context.place_needed_ = true;
}

} // namespace fescuevane::decide
