// Purpose: changes of state of a job, from admission to its final result.
#include "decide/job_flow.hpp"

#include "decide/scheduler.hpp"
#include "decide/task_flow.hpp"

#include <utility>

namespace fescuevane::decide
{
namespace
{

outcome decide_outcome(job_table const& jobs, std::size_t job,
                       task_close const& last)
{
    if (jobs.canceled_[job] != 0)
    {
        bool const whole = jobs.spec_[job]->task_count_ == 1 &&
                           last.outcome_ == outcome::succeeded;
        return whole ? outcome::succeeded : outcome::canceled;
    }
    return jobs.failed_[job].empty() ? last.outcome_ : outcome::failed;
}

// Gives a job of which every task has ended its final result.
void settle_job(scheduler& context, std::size_t job, task_close const& last)
{
    job_table const&  jobs = context.jobs_;
    job_key const     key = jobs.index_.key(job);
    std::string const reason =
        jobs.failed_[job].empty() ? last.reason_ : jobs.failed_[job];
    bool const moved = jobs.moving_[job] != 0;
    if (jobs.lost_[job] != 0)
    {
        tell_unknown(context, job, reason);
    }
    else if (jobs.ran_[job] == 0 || moved)
    {
        bool const canceled = jobs.canceled_[job] != 0;
        tell_job(context, job,
                 {.key_ = key,
                  .state_ = job_state::not_run,
                  .reason_ = canceled ? std::string(reason_canceled) : reason,
                  .retry_after_micros_ =
                      canceled ? 0 : context.settings_.retry_after_micros_});
    }
    else
    {
        tell_job(context, job,
                 {.key_ = key,
                  .state_ = job_state::answered,
                  .outcome_ = decide_outcome(jobs, job, last),
                  .attempt_ = last.attempt_,
                  .body_ = last.body_,
                  .reason_ = reason,
                  .target_ = last.target_});
    }
}

// Drops the tasks of a job that no target has; returns how many are in flight.
std::size_t drop_queued_tasks(scheduler& context, std::size_t job)
{
    std::size_t       in_flight = 0;
    std::size_t const count = context.jobs_.attempts_[job].size();
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const task = find_task(context, job, i);
        if (task && context.tasks_.phase_[*task] == task_phase::queued)
        {
            unqueue_task(context, *task);
            remove_task(context.tasks_, *task);
        }
        else if (task)
        {
            ++in_flight;
        }
    }
    context.jobs_.open_tasks_[job] = static_cast<std::uint32_t>(in_flight);
    return in_flight;
}

void finish_unstarted(scheduler& context, std::size_t job,
                      std::string_view reason, std::int64_t retry_after)
{
    bool const ran =
        context.jobs_.ran_[job] != 0 && context.jobs_.moving_[job] == 0;
    bool const canceled = context.jobs_.canceled_[job] != 0;
    tell_job(context, job,
             {.key_ = context.jobs_.index_.key(job),
              .state_ = ran ? job_state::answered : job_state::not_run,
              .outcome_ = canceled ? outcome::canceled : outcome::failed,
              .reason_ = std::string(reason),
              .retry_after_micros_ = ran ? 0 : retry_after});
}

} // namespace

void tell_job(scheduler& context, std::size_t job, job_result const& result)
{
    if (is_final(context.jobs_.result_[job].state_))
    {
        return;
    }
    context.jobs_.result_.replace(job, result);
    if (is_final(result.state_))
    {
        instant const keep =
            context.now_.after(context.settings_.result_keep_micros_);
        context.jobs_.keep_deadline_[job] = keep;
        context.held_jobs_.erase(result.key_);
        add_timer(context.timers_, keep, timer_kind::keep_result,
                  task_key{result.key_});
    }
    context.outbox_.push_back(job_changed{result});
}

void tell_unknown(scheduler& context, std::size_t job, std::string_view reason)
{
    tell_job(context, job,
             {.key_ = context.jobs_.index_.key(job),
              .state_ = job_state::unknown,
              .reason_ = std::string(reason)});
}

void close_task(scheduler& context, job_key const& key, task_close const& close)
{
    auto const job = context.jobs_.index_.find(key);
    if (!job || is_final(context.jobs_.result_[*job].state_))
    {
        return;
    }
    if (close.outcome_ == outcome::failed &&
        context.jobs_.failed_[*job].empty())
    {
        context.jobs_.failed_[*job] =
            close.reason_.empty() ? "failed" : close.reason_;
    }
    if (--context.jobs_.open_tasks_[*job] == 0)
    {
        settle_job(context, *job, close);
    }
}

void refuse_job(scheduler& context, job_key const& key, std::string_view reason,
                std::int64_t retry_after_micros, bool moving)
{
    auto const job = context.jobs_.index_.find(key);
    if (!job || is_final(context.jobs_.result_[*job].state_))
    {
        return;
    }
    job_spec const& spec = *context.jobs_.spec_[*job];
    bool const may_move = spec.idempotent_ && spec.kind_ != work_kind::request;
    context.jobs_.moving_[*job] = moving && may_move ? 1 : 0;
    if (drop_queued_tasks(context, *job) == 0)
    {
        finish_unstarted(context, *job, reason, retry_after_micros);
        return;
    }
    context.jobs_.refused_[*job] = 1;
    context.jobs_.failed_[*job] = reason;
}

void cancel_job(scheduler& context, job_key const& key)
{
    auto const job = context.jobs_.index_.find(key);
    if (!job || is_final(context.jobs_.result_[*job].state_) ||
        context.jobs_.canceled_[*job] != 0)
    {
        return;
    }
    context.jobs_.canceled_[*job] = 1;
    if (drop_queued_tasks(context, *job) != 0)
    {
        stop_job_tasks(context, *job, stop_cause::canceled, false);
    }
    else if (context.jobs_.held_[*job] == 0)
    {
        finish_unstarted(context, *job, reason_canceled, 0);
    }
}

} // namespace fescuevane::decide
