// Purpose: the way of a task through queue, target and retries.
//
// Index of sections
//   1. Queue
//   2. Targets
//   3. Next attempts
//   4. Ends of attempts
#include "decide/task_flow.hpp"

#include "core/hashing.hpp"
#include "core/names.hpp"
#include "decide/job_flow.hpp"
#include "decide/probation.hpp"
#include "decide/scheduler.hpp"

#include <algorithm>
#include <cassert>
#include <string>
#include <vector>

namespace fescuevane::decide
{

// 1. Queue

namespace
{

std::size_t kind_index(job_spec const& spec)
{
    return static_cast<std::size_t>(spec.kind_);
}

queue_entry make_entry(scheduler const& context, std::size_t job,
                       std::size_t task)
{
    job_spec const& spec = *context.jobs_.spec_[job];
    bool const      gang = spec.kind_ == work_kind::gang;
    task_key        key = context.tasks_.index_.key(task);
    if (gang)
    {
        key = {key.job_, 0, context.jobs_.attempts_[job][0]};
    }
    return {.deadline_ = spec.start_deadline_,
            .sequence_ = context.tasks_.sequence_[task],
            .task_ = key,
            .demand_ = spec.demand_,
            .class_ = context.jobs_.class_[job],
            .task_count_ = gang ? spec.task_count_ : 1};
}

void count_queued(scheduler& context, std::size_t job, std::size_t task,
                  int sign)
{
    std::size_t const team = context.jobs_.team_[job];
    context.queued_tasks_ += static_cast<std::uint32_t>(sign);
    context.teams_.queued_[team] += static_cast<std::uint32_t>(sign);
    context.teams_.waiting_[team] = context.teams_.waiting_[team] +
                                    context.tasks_.reservation_[task] * sign;
}

std::size_t add_task(scheduler& context, std::size_t job, std::size_t index)
{
    std::uint32_t const attempt = ++context.jobs_.attempts_[job][index];
    return append_task(context.tasks_,
                       {context.jobs_.index_.key(job),
                        static_cast<std::uint32_t>(index), attempt},
                       context.jobs_.spec_[job]->demand_);
}

// Queues all tasks of a gang under one entry.
void queue_gang(scheduler& context, std::size_t job)
{
    std::uint64_t const sequence = context.next_sequence_++;
    std::size_t const   count = context.jobs_.attempts_[job].size();
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const task = find_task(context, job, i);
        assert(task);
        context.tasks_.sequence_[*task] = sequence;
        count_queued(context, job, *task, 1);
    }
    std::size_t const team = context.jobs_.team_[job];
    context.teams_.queues_[team][kind_index(*context.jobs_.spec_[job])].insert(
        make_entry(context, job, *find_task(context, job, 0)));
    context.place_needed_ = true;
    add_timer(context.timers_,
              context.now_.after(context.settings_.gang_age_micros_),
              timer_kind::wake, task_key{context.jobs_.index_.key(job)});
}

} // namespace

std::optional<std::size_t> find_task(scheduler const& context, std::size_t job,
                                     std::size_t index)
{
    return context.tasks_.index_.find({context.jobs_.index_.key(job),
                                       static_cast<std::uint32_t>(index),
                                       context.jobs_.attempts_[job][index]});
}

void queue_task(scheduler& context, std::size_t task)
{
    auto const job =
        context.jobs_.index_.find(context.tasks_.index_.key(task).job_);
    if (context.jobs_.complete_[*job] == 0)
    {
        return; // queued when a submission brings the payload
    }
    context.jobs_.queued_at_[*job] = context.now_;
    if (context.jobs_.spec_[*job]->kind_ == work_kind::gang)
    {
        queue_gang(context, *job);
        return;
    }
    context.tasks_.sequence_[task] = context.next_sequence_++;
    count_queued(context, *job, task, 1);
    std::size_t const team = context.jobs_.team_[*job];
    context.teams_.queues_[team][kind_index(*context.jobs_.spec_[*job])].insert(
        make_entry(context, *job, task));
    context.place_needed_ = true;
}

void unqueue_task(scheduler& context, std::size_t task)
{
    if (context.tasks_.phase_[task] != task_phase::queued ||
        context.tasks_.sequence_[task] == 0)
    {
        return;
    }
    auto const job =
        context.jobs_.index_.find(context.tasks_.index_.key(task).job_);
    std::size_t const team = context.jobs_.team_[*job];
    context.teams_.queues_[team][kind_index(*context.jobs_.spec_[*job])].erase(
        make_entry(context, *job, task));
    count_queued(context, *job, task, -1);
    context.tasks_.sequence_[task] = 0;
}

void unqueue_gang(scheduler& context, std::size_t job)
{
    for (std::size_t i = 0; i < context.jobs_.attempts_[job].size(); ++i)
    {
        if (auto const task = find_task(context, job, i))
        {
            unqueue_task(context, *task);
        }
    }
}

// 2. Targets

void attach_task(scheduler& context, std::size_t task, std::size_t target,
                 resources const& amount)
{
    task_key const    key = context.tasks_.index_.key(task);
    auto const        job = context.jobs_.index_.find(key.job_);
    std::size_t const team = context.jobs_.team_[*job];
    reserve_on_target(context.targets_, target, amount);
    context.targets_.tasks_[target].push_back(key);
    context.tasks_.phase_[task] = task_phase::dispatched;
    context.tasks_.target_[task] = context.targets_.index_.key(target);
    context.tasks_.reservation_[task] = amount;
    context.tasks_.sequence_[task] = context.next_sequence_++;
    context.tasks_.started_[task] = context.now_;
    context.teams_.used_[team] = context.teams_.used_[team] + amount;
    ++context.teams_.running_count_[team];
    context.teams_.running_[team][kind_index(*context.jobs_.spec_[*job])]
        .emplace(context.tasks_.sequence_[task], key);
}

void dispatch_task(scheduler& context, std::size_t task, std::size_t target,
                   resources const& amount)
{
    task_key const  key = context.tasks_.index_.key(task);
    auto const      job = context.jobs_.index_.find(key.job_);
    target_id const chosen = context.targets_.index_.key(target);
    unqueue_task(context, task);
    attach_task(context, task, target, amount);
    context.jobs_.dispatched_[*job] = 1;
    if (key.attempt_ == 1)
    {
        context.budget_.hundredths_ = std::min<std::int64_t>(
            context.budget_.hundredths_ + context.settings_.retry_percent_,
            10'000);
    }
    context.outbox_.push_back(
        start_task{key, chosen, context.jobs_.spec_[*job], amount});
    if (context.jobs_.result_[*job].state_ == job_state::queued)
    {
        tell_job(context, *job,
                 {.key_ = key.job_,
                  .state_ = job_state::dispatched,
                  .attempt_ = key.attempt_,
                  .target_ = chosen});
    }
}

void stop_running_task(scheduler& context, std::size_t task, stop_cause cause,
                       bool checkpoint)
{
    task_key const& key = context.tasks_.index_.key(task);
    bool const repeated = context.tasks_.phase_[task] == task_phase::stopping;
    if (repeated && cause != stop_cause::canceled && checkpoint)
    {
        return;
    }
    if (!repeated || cause == stop_cause::canceled)
    {
        context.tasks_.stop_cause_[task] = cause;
    }
    if (!repeated)
    {
        auto const job = context.jobs_.index_.find(key.job_);
        resources& stopping =
            context.teams_.stopping_[context.jobs_.team_[*job]];
        stopping = stopping + context.tasks_.reservation_[task];
    }
    context.tasks_.phase_[task] = task_phase::stopping;
    context.outbox_.push_back(
        stop_task{key, context.tasks_.target_[task], checkpoint});
    if (checkpoint)
    {
        add_timer(context.timers_,
                  context.now_.after(context.settings_.reclaim_grace_micros_),
                  timer_kind::stop_grace, key);
    }
}

void stop_job_tasks(scheduler& context, std::size_t job, stop_cause cause,
                    bool checkpoint)
{
    for (std::size_t i = 0; i < context.jobs_.attempts_[job].size(); ++i)
    {
        auto const task = find_task(context, job, i);
        if (task && context.tasks_.phase_[*task] != task_phase::queued)
        {
            stop_running_task(context, *task, cause, checkpoint);
        }
    }
}

// 3. Next attempts

namespace
{

// Doubles with each attempt, between half and all of the bound by a hash, so
// that tasks that failed together don't come back together.
std::int64_t compute_backoff(scheduler const& context, task_key const& key)
{
    std::uint32_t const doublings = std::min(key.attempt_, 20U);
    std::int64_t const  bound =
        std::min(context.settings_.retry_delay_micros_ << doublings,
                 context.settings_.retry_delay_max_micros_);
    std::uint64_t const jitter =
        compute_stable_hash(format_key(key), context.settings_.seed_);
    return bound / 2 + static_cast<std::int64_t>(
                           jitter % static_cast<std::uint64_t>(bound / 2 + 1));
}

// Makes a next attempt at a task wait for its backoff, or queues it at once.
void add_attempt(scheduler& context, std::size_t job, std::size_t index,
                 std::uint32_t failures, bool at_once)
{
    std::size_t const task = add_task(context, job, index);
    task_key const    key = context.tasks_.index_.key(task);
    context.tasks_.failures_[task] = failures;
    if (context.jobs_.complete_[job] == 0)
    {
        instant const limit =
            context.now_.after(context.settings_.result_keep_micros_);
        add_timer(context.timers_, limit, timer_kind::start_deadline, key);
        return;
    }
    if (at_once)
    {
        queue_task(context, task);
        return;
    }
    add_timer(context.timers_,
              context.now_.after(compute_backoff(context, key)),
              timer_kind::retry, key);
}

bool has_task_in_flight(scheduler const& context, std::size_t job)
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

// A gang runs whole or not at all: when one of its tasks has to start again,
// the others are stopped and all start together.
void restart_gang(scheduler& context, std::size_t job, std::uint32_t failures,
                  bool at_once)
{
    std::uint32_t& known = context.jobs_.gang_failures_[job];
    known = std::max(known, failures);
    context.jobs_.restarting_[job] = 1;
    if (has_task_in_flight(context, job))
    {
        stop_job_tasks(context, job, stop_cause::moved, true);
        return;
    }
    context.jobs_.restarting_[job] = 0;
    std::size_t const count = context.jobs_.attempts_[job].size();
    context.jobs_.open_tasks_[job] = static_cast<std::uint32_t>(count);
    for (std::size_t i = 1; i < count; ++i)
    {
        std::size_t const task = add_task(context, job, i);
        context.tasks_.failures_[task] = known;
    }
    add_attempt(context, job, 0, known, at_once);
}

void start_again(scheduler& context, std::size_t job, std::size_t index,
                 std::uint32_t failures, bool at_once)
{
    if (context.jobs_.spec_[job]->kind_ == work_kind::gang)
    {
        restart_gang(context, job, failures, at_once);
        return;
    }
    add_attempt(context, job, index, failures, at_once);
}

// True when only some tasks of a gang were found after a takeover.
bool is_gang_in_part(scheduler const& context, std::size_t job)
{
    auto const& attempts = context.jobs_.attempts_[job];
    auto const  missing = std::count(attempts.begin(), attempts.end(), 0U);
    return context.jobs_.spec_[job]->kind_ == work_kind::gang && missing > 0 &&
           static_cast<std::size_t>(missing) < attempts.size();
}

} // namespace

void add_missing_tasks(scheduler& context, std::size_t job)
{
    if (is_gang_in_part(context, job))
    {
        restart_gang(context, job, 0, false);
        return;
    }
    bool const        gang = context.jobs_.spec_[job]->kind_ == work_kind::gang;
    bool              all_queued = true;
    std::size_t const count = context.jobs_.attempts_[job].size();
    for (std::size_t i = 0; i < count; ++i)
    {
        auto task = find_task(context, job, i);
        if (!task && context.jobs_.attempts_[job][i] == 0)
        {
            task = add_task(context, job, i);
        }
        bool const waits = task &&
                           context.tasks_.phase_[*task] == task_phase::queued &&
                           context.tasks_.sequence_[*task] == 0;
        all_queued = all_queued && waits;
        if (waits && !gang)
        {
            queue_task(context, *task);
        }
    }
    if (gang && all_queued && context.jobs_.complete_[job] != 0)
    {
        queue_task(context, *find_task(context, job, 0));
    }
}

void retry_task(scheduler& context, task_key const& key)
{
    auto const task = context.tasks_.index_.find(key);
    if (!task || context.tasks_.phase_[*task] != task_phase::queued ||
        context.tasks_.sequence_[*task] != 0)
    {
        return;
    }
    retry_budget& budget = context.budget_;
    if (budget.refilled_ == instant())
    {
        budget.refilled_ = context.now_; // the initial budget covers the start
    }
    std::int64_t const idle = budget.refilled_.remaining_until(context.now_);
    std::int64_t const refill = std::min(idle, micros_per_second) *
                                context.settings_.retry_floor_a_second_ * 100 /
                                micros_per_second;
    budget.hundredths_ =
        std::min<std::int64_t>(budget.hundredths_ + refill, 10'000);
    budget.refilled_ = refill > 0 ? context.now_ : budget.refilled_;
    if (budget.hundredths_ < 100)
    {
        add_timer(context.timers_,
                  context.now_.after(compute_backoff(context, key)),
                  timer_kind::retry, key);
        return;
    }
    budget.hundredths_ -= 100;
    queue_task(context, *task);
}

// 4. Ends of attempts

namespace
{

// What remains of an attempt after its row is gone.
struct past_attempt
{
    task_key const      key_;
    target_id const     target_;
    std::uint32_t const failures_ = 0;
    stop_cause const    cause_ = stop_cause::none;
};

past_attempt release_task(scheduler& context, std::size_t task)
{
    past_attempt past{
        context.tasks_.index_.key(task), context.tasks_.target_[task],
        context.tasks_.failures_[task], context.tasks_.stop_cause_[task]};
    resources const amount = context.tasks_.reservation_[task];
    bool const stopping = context.tasks_.phase_[task] == task_phase::stopping;
    if (auto const target = context.targets_.index_.find(past.target_))
    {
        release_on_target(context.targets_, *target, amount);
        auto&      tasks = context.targets_.tasks_[*target];
        auto const place = std::find(tasks.begin(), tasks.end(), past.key_);
        *place = tasks.back();
        tasks.pop_back();
    }
    auto const        job = context.jobs_.index_.find(past.key_.job_);
    std::size_t const team = context.jobs_.team_[*job];
    context.teams_.used_[team] = context.teams_.used_[team] - amount;
    if (stopping)
    {
        context.teams_.stopping_[team] =
            context.teams_.stopping_[team] - amount;
    }
    --context.teams_.running_count_[team];
    context.teams_.running_[team][kind_index(*context.jobs_.spec_[*job])].erase(
        context.tasks_.sequence_[task]);
    remove_task(context.tasks_, task);
    context.place_needed_ = true;
    return past;
}

// True when a later attempt at the task has replaced this one.
bool is_superseded(job_table const& jobs, std::size_t job, task_key const& key)
{
    return jobs.attempts_[job][key.index_] != key.attempt_;
}

// True when nothing of the job may start again.
bool is_ending(job_table const& jobs, std::size_t job)
{
    return is_final(jobs.result_[job].state_) || jobs.canceled_[job] != 0 ||
           jobs.refused_[job] != 0 || !jobs.spec_[job]->idempotent_;
}

// Handles an end while a gang stops to start over. True when handled.
bool continue_restart(scheduler& context, std::size_t job,
                      past_attempt const& past)
{
    if (context.jobs_.restarting_[job] == 0 || is_ending(context.jobs_, job))
    {
        return false;
    }
    restart_gang(context, job, past.failures_, false);
    return true;
}

// An own failure ends a gang as a whole.
void close_failed(scheduler& context, std::size_t job, past_attempt const& past,
                  task_close const& close)
{
    bool const gang = context.jobs_.spec_[job]->kind_ == work_kind::gang;
    close_task(context, past.key_.job_, close);
    if (gang && !is_final(context.jobs_.result_[job].state_))
    {
        context.jobs_.refused_[job] = 1;
        stop_job_tasks(context, job, stop_cause::canceled, false);
    }
}

// An attempt failed because of its target. Requests stop after
// `max_attempts_`, since a caller waits; other work goes on.
void retry_after_target(scheduler& context, std::size_t job,
                        past_attempt const& past, std::string const& reason)
{
    if (continue_restart(context, job, past))
    {
        return;
    }
    bool const request = context.jobs_.spec_[job]->kind_ == work_kind::request;
    bool const exhausted =
        request && past.key_.attempt_ >= context.settings_.max_attempts_;
    if (is_ending(context.jobs_, job) || exhausted)
    {
        close_failed(context, job, past,
                     {.outcome_ = outcome::failed,
                      .reason_ = reason,
                      .attempt_ = past.key_.attempt_,
                      .target_ = past.target_});
        return;
    }
    start_again(context, job, past.key_.index_, past.failures_,
                past.cause_ != stop_cause::none);
}

// True when an end leads to a next attempt; `failures` counts the own ones.
bool wants_attempt(scheduler const& context, std::size_t job, outcome result,
                   std::uint32_t failures)
{
    work_kind const kind = context.jobs_.spec_[job]->kind_;
    if (kind == work_kind::service)
    {
        return true;
    }
    return result == outcome::failed && kind != work_kind::request &&
           failures < context.settings_.max_attempts_;
}

void learn_end(scheduler& context, std::size_t job, std::size_t task,
               outcome result)
{
    if (result != outcome::succeeded)
    {
        return;
    }
    std::int64_t const run =
        context.tasks_.started_[task].remaining_until(context.now_);
    learn_task(context.estimates_, context.jobs_.class_[job],
               context.tasks_.peak_[task], run);
    // A mean over about the last sixteen tasks follows a change of load.
    double& mean = context.teams_.run_micros_[context.jobs_.team_[job]];
    mean = mean == 0.0 ? static_cast<double>(run)
                       : mean + (static_cast<double>(run) - mean) / 16.0;
}

} // namespace

void end_task(scheduler& context, std::size_t task, task_ended const& ended)
{
    auto const job = context.jobs_.index_.find(ended.task_.job_);
    learn_end(context, *job, task, ended.outcome_);
    past_attempt const past = release_task(context, task);
    context.jobs_.ran_[*job] = 1;
    if (is_superseded(context.jobs_, *job, past.key_))
    {
        return;
    }
    bool const preempted = (past.cause_ == stop_cause::moved ||
                            past.cause_ == stop_cause::reclaimed) &&
                           ended.outcome_ != outcome::succeeded;
    if (past.cause_ == stop_cause::none)
    {
        note_task_end(context, *job, past.target_,
                      ended.outcome_ == outcome::failed);
    }
    if (continue_restart(context, *job, past))
    {
        return;
    }
    bool const stopped_by_target =
        ended.outcome_ == outcome::canceled && past.cause_ == stop_cause::none;
    bool const movable = context.jobs_.spec_[*job]->kind_ != work_kind::request;
    if (!is_ending(context.jobs_, *job) &&
        ((preempted && movable) || stopped_by_target))
    {
        retry_after_target(context, *job, past, ended.reason_);
        return;
    }
    std::uint32_t const failures =
        past.failures_ + (ended.outcome_ == outcome::failed ? 1 : 0);
    if (!is_ending(context.jobs_, *job) &&
        wants_attempt(context, *job, ended.outcome_, failures))
    {
        start_again(context, *job, past.key_.index_, failures, false);
        return;
    }
    task_close const close{ended.outcome_, ended.reason_, ended.body_,
                           past.key_.attempt_, past.target_};
    if (ended.outcome_ == outcome::failed)
    {
        close_failed(context, *job, past, close);
        return;
    }
    close_task(context, past.key_.job_, close);
}

void lose_task(scheduler& context, std::size_t task)
{
    auto const job =
        context.jobs_.index_.find(context.tasks_.index_.key(task).job_);
    past_attempt const past = release_task(context, task);
    context.jobs_.ran_[*job] = 1;
    if (is_superseded(context.jobs_, *job, past.key_))
    {
        return;
    }
    if (!context.jobs_.spec_[*job]->idempotent_)
    {
        context.jobs_.lost_[*job] = 1;
    }
    retry_after_target(context, *job, past, "target lost");
}

void reject_task(scheduler& context, std::size_t task,
                 std::string const& reason)
{
    auto const job =
        context.jobs_.index_.find(context.tasks_.index_.key(task).job_);
    past_attempt const past = release_task(context, task);
    if (is_superseded(context.jobs_, *job, past.key_))
    {
        return;
    }
    note_task_end(context, *job, past.target_, true);
    retry_after_target(context, *job, past, reason);
}

} // namespace fescuevane::decide
