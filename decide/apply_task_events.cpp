// Purpose: what targets report of tasks.
//
// Index of sections
//   1. Starts and ends
//   2. Tasks found after a takeover
//   3. Usage
#include "core/job_result.hpp"
#include "decide/apply_event.hpp"
#include "decide/job_flow.hpp"
#include "decide/scheduler.hpp"
#include "decide/task_flow.hpp"

#include <algorithm>
#include <memory>
#include <optional>

namespace fescuevane::decide
{

// 1. Starts and ends

namespace
{

// Row of an attempt that is at the target; none for late and repeated reports.
std::optional<std::size_t> find_at_target(scheduler const& context,
                                          task_key const&  task,
                                          target_id const& target)
{
    auto const row = context.tasks_.index_.find(task);
    bool const there = row &&
                       context.tasks_.phase_[*row] != task_phase::queued &&
                       context.tasks_.target_[*row] == target;
    return there ? row : std::nullopt;
}

void tell_running(scheduler& context, task_key const& task,
                  target_id const& target)
{
    auto const job = context.jobs_.index_.find(task.job_);
    context.jobs_.ran_[*job] = 1;
    context.jobs_.dispatched_[*job] = 1;
    if (context.jobs_.result_[*job].state_ != job_state::running)
    {
        tell_job(context, *job,
                 {.key_ = task.job_,
                  .state_ = job_state::running,
                  .attempt_ = task.attempt_,
                  .target_ = target});
    }
}

} // namespace

void apply_event(scheduler& context, task_started const& input)
{
    auto const task = find_at_target(context, input.task_, input.target_);
    if (!task)
    {
        return;
    }
    if (context.tasks_.phase_[*task] == task_phase::dispatched)
    {
        context.tasks_.phase_[*task] = task_phase::running;
        tell_running(context, input.task_, input.target_);
    }
    else if (auto const job = context.jobs_.index_.find(input.task_.job_))
    {
        context.jobs_.ran_[*job] = 1; // a stop is on its way
    }
}

void apply_event(scheduler& context, task_ended const& input)
{
    if (auto const task = find_at_target(context, input.task_, input.target_))
    {
        end_task(context, *task, input);
    }
}

void apply_event(scheduler& context, task_rejected const& input)
{
    auto const task = find_at_target(context, input.task_, input.target_);
    if (task && context.tasks_.phase_[*task] != task_phase::running)
    {
        reject_task(context, *task, input.reason_);
    }
}

// 2. Tasks found after a takeover

namespace
{

std::size_t find_or_append_recovered(scheduler& context, job_spec const& spec)
{
    if (auto const job = context.jobs_.index_.find(spec.key_))
    {
        return *job;
    }
    std::size_t const team =
        find_or_append_team(context.teams_, spec.key_.team_);
    std::size_t const work_class = find_or_append_class(
        context.estimates_, spec.key_.team_, spec.service_);
    return append_job(context.jobs_, std::make_shared<job_spec const>(spec),
                      team, work_class);
}

// Makes room for the found attempt. False when a later one waits or has ended,
// or another one is in flight, so that the found one has to be stopped.
bool replace_queued(scheduler& context, std::size_t job, task_key const& found)
{
    std::uint32_t& latest = context.jobs_.attempts_[job][found.index_];
    if (latest > found.attempt_)
    {
        return false;
    }
    if (auto const task = find_task(context, job, found.index_))
    {
        if (context.tasks_.phase_[*task] != task_phase::queued)
        {
            return false;
        }
        unqueue_task(context, *task);
        remove_task(context.tasks_, *task);
    }
    latest = found.attempt_;
    return true;
}

void end_hold(scheduler& context, std::size_t job)
{
    bool const single = context.jobs_.spec_[job]->task_count_ == 1;
    if (context.jobs_.held_[job] != 0 && single)
    {
        context.jobs_.held_[job] = 0;
        context.held_jobs_.erase(context.jobs_.index_.key(job));
    }
}

} // namespace

void apply_event(scheduler& context, task_recovered const& input)
{
    auto const known = context.tasks_.index_.find(input.task_);
    auto const target = context.targets_.index_.find(input.target_);
    bool const seen =
        known && context.tasks_.phase_[*known] != task_phase::queued;
    if (seen || !target || input.task_.index_ >= input.spec_.task_count_)
    {
        return;
    }
    std::size_t const job = find_or_append_recovered(context, input.spec_);
    if (input.task_.index_ >= context.jobs_.attempts_[job].size())
    {
        return;
    }
    bool const wanted = replace_queued(context, job, input.task_) &&
                        !is_final(context.jobs_.result_[job].state_);
    std::size_t const task =
        append_task(context.tasks_, input.task_, input.reservation_);
    attach_task(context, task, *target, input.reservation_);
    context.tasks_.phase_[task] = task_phase::running;
    context.drain_needed_ = true;
    if (!wanted || context.jobs_.canceled_[job] != 0)
    {
        stop_running_task(context, task, stop_cause::canceled, false);
        return;
    }
    end_hold(context, job);
    tell_running(context, input.task_, input.target_);
}

// 3. Usage

namespace
{

// A reservation follows a rise at once, as far as the target and the team's
// allotment have room, and falls by a part of the excess a report.
resources follow_usage(scheduler const& context, resources const& reserved,
                       resources const& usage, resources const& room)
{
    std::int64_t const margin = 100 + context.settings_.usage_margin_percent_;
    resources const    wanted(usage.cpu_millis() * margin / 100,
                              usage.memory_mib() * margin / 100,
                              reserved.accelerators());
    auto const         follow = [&context](std::int64_t held, std::int64_t used,
                                   std::int64_t want, std::int64_t free)
    {
        std::int64_t const fall =
            (held - want) * context.settings_.reservation_fall_percent_ / 100;
        return used > held ? held + std::min(used - held, std::max(free, 0L))
                           : held - std::max(fall, 0L);
    };
    return {follow(reserved.cpu_millis(), usage.cpu_millis(),
                   wanted.cpu_millis(), room.cpu_millis()),
            follow(reserved.memory_mib(), usage.memory_mib(),
                   wanted.memory_mib(), room.memory_mib()),
            reserved.accelerators()};
}

resources find_growth_room(scheduler const& context, std::size_t team,
                           std::size_t target)
{
    resources const free = context.targets_.free_[target];
    auto const&     allotment = context.teams_.allotment_[team];
    return allotment ? min(free, *allotment - context.teams_.used_[team] -
                                     context.targets_.total_charged_)
                     : free;
}

} // namespace

void apply_event(scheduler& context, usage_reported const& input)
{
    auto const task = context.tasks_.index_.find(input.task_);
    if (!task || context.tasks_.phase_[*task] == task_phase::queued)
    {
        return;
    }
    context.tasks_.peak_[*task] =
        max(context.tasks_.peak_[*task], input.usage_);
    auto const target =
        context.targets_.index_.find(context.tasks_.target_[*task]);
    auto const job = context.jobs_.index_.find(input.task_.job_);
    if (!target || !job || context.tasks_.phase_[*task] == task_phase::stopping)
    {
        return;
    }
    std::size_t const team = context.jobs_.team_[*job];
    resources const   before = context.tasks_.reservation_[*task];
    resources const   after =
        follow_usage(context, before, input.usage_,
                     find_growth_room(context, team, *target));
    if (after == before)
    {
        return;
    }
    change_reservation(context.targets_, *target, before, after);
    context.tasks_.reservation_[*task] = after;
    context.teams_.used_[team] = context.teams_.used_[team] + after - before;
    context.place_needed_ = true;
}

} // namespace fescuevane::decide
