// Purpose: the system that handles timers that are due.
//
// Index of sections
//   1. Jobs
//   2. Feasibility
//   3. Tasks and targets
//   4. System
#include "decide/apply_event.hpp"
#include "decide/feasibility.hpp"
#include "decide/job_flow.hpp"
#include "decide/probation.hpp"
#include "decide/scheduler.hpp"
#include "decide/task_flow.hpp"

#include <array>
#include <string>

namespace fescuevane::decide
{

// 1. Jobs

namespace
{

bool waits_in_queue(scheduler const& context, std::size_t job)
{
    job_spec const& spec = *context.jobs_.spec_[job];
    if (context.jobs_.dispatched_[job] == 0)
    {
        return true;
    }
    // Only a request still has a deadline for a second attempt: its caller
    // waits.
    auto const task = find_task(context, job, 0);
    return spec.kind_ == work_kind::request && task &&
           context.tasks_.phase_[*task] == task_phase::queued;
}

void expire_start(scheduler& context, timer const& due)
{
    auto const job = context.jobs_.index_.find(due.task_.job_);
    if (!job || is_final(context.jobs_.result_[*job].state_))
    {
        return;
    }
    bool const untouched = context.jobs_.dispatched_[*job] == 0;
    if (context.jobs_.held_[*job] != 0 && untouched)
    {
        tell_unknown(context, *job,
                     "start deadline passed while targets were unreached");
        return;
    }
    if (context.jobs_.complete_[*job] == 0)
    {
        auto const task = context.tasks_.index_.find(due.task_);
        if (task && context.tasks_.phase_[*task] == task_phase::queued)
        {
            remove_task(context.tasks_, *task);
            tell_unknown(context, *job, "no submission after a takeover");
        }
        return;
    }
    if (context.jobs_.spec_[*job]->start_deadline_ <= context.now_ &&
        waits_in_queue(context, *job))
    {
        refuse_job(context, due.task_.job_, "start deadline passed",
                   context.settings_.retry_after_micros_);
    }
}

bool has_task(scheduler const& context, std::size_t job)
{
    for (std::size_t i = 0; i < context.jobs_.attempts_[job].size(); ++i)
    {
        if (find_task(context, job, i))
        {
            return true;
        }
    }
    return false;
}

void forget_result(scheduler& context, timer const& due)
{
    auto const job = context.jobs_.index_.find(due.task_.job_);
    if (!job || context.jobs_.keep_deadline_[*job] > context.now_)
    {
        return;
    }
    if (has_task(context, *job))
    {
        instant const later =
            context.now_.after(context.settings_.result_keep_micros_);
        context.jobs_.keep_deadline_[*job] = later;
        add_timer(context.timers_, later, timer_kind::keep_result, due.task_);
        return;
    }
    remove_job(context.jobs_, *job);
}

} // namespace

// 2. Feasibility

namespace
{

void check_feasibility(scheduler& context, timer const& due)
{
    auto const job = context.jobs_.index_.find(due.task_.job_);
    if (!job || context.jobs_.dispatched_[*job] != 0 ||
        context.jobs_.held_[*job] != 0 ||
        is_final(context.jobs_.result_[*job].state_))
    {
        return;
    }
    std::string const obstacle = find_obstacle(context, *job);
    if (obstacle.empty())
    {
        // Spread, so that jobs of one burst don't share later ticks as well.
        std::int64_t const hold = context.settings_.infeasible_hold_micros_;
        auto const         part =
            static_cast<std::int64_t>(context.timers_.next_sequence_ % 64);
        add_timer(context.timers_, context.now_.after(hold + hold * part / 64),
                  timer_kind::feasibility, due.task_);
        return;
    }
    refuse_job(context, due.task_.job_, obstacle, 0);
}

} // namespace

// 3. Tasks and targets

namespace
{

void end_backoff(scheduler& context, timer const& due)
{
    retry_task(context, due.task_);
}

// A checkpoint that takes too long is followed by a plain stop.
void end_stop_grace(scheduler& context, timer const& due)
{
    auto const task = context.tasks_.index_.find(due.task_);
    if (task && context.tasks_.phase_[*task] == task_phase::stopping)
    {
        stop_running_task(context, *task, context.tasks_.stop_cause_[*task],
                          false);
    }
}

void lapse_target(scheduler& context, timer const& due)
{
    auto const row = context.targets_.index_.find(due.target_);
    if (row && context.targets_.reached_[*row] == 0 &&
        context.targets_.lapse_deadline_[*row] <= context.now_)
    {
        lose_target(context, due.target_);
    }
}

void retry_target(scheduler& context, timer const& due)
{
    auto const row = context.targets_.index_.find(due.target_);
    if (row && context.targets_.probation_deadline_[*row] != instant() &&
        context.targets_.probation_deadline_[*row] <= context.now_)
    {
        end_probation(context, *row);
    }
}

void wake_up(scheduler& context, timer const& /*due*/)
{
    context.place_needed_ = true;
}

} // namespace

// 4. System

namespace
{

// In the order of `timer_kind`.
using timer_handler = void (*)(scheduler&, timer const&);
constexpr std::array<timer_handler, timer_kind_count> handlers = {
    &expire_start,   &forget_result, &check_feasibility, &end_backoff,
    &end_stop_grace, &lapse_target,  &retry_target,      &wake_up};

} // namespace

void expire_deadlines(scheduler& context)
{
    for (std::uint32_t i = 0; i < context.settings_.tick_timers_; ++i)
    {
        auto const due = take_due_timer(context.timers_, context.now_);
        if (!due)
        {
            return;
        }
        handlers[static_cast<std::size_t>(due->kind_)](context, *due);
    }
}

} // namespace fescuevane::decide
