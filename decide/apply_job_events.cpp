// Purpose: submissions and cancellations.
//
// Index of sections
//   1. Known jobs
//   2. Admission
//   3. Events
#include "decide/apply_event.hpp"
#include "decide/job_flow.hpp"
#include "decide/scheduler.hpp"
#include "decide/task_flow.hpp"

#include <algorithm>
#include <memory>
#include <string>

namespace fescuevane::decide
{

// 1. Known jobs

namespace
{

// A recovered job has no payload to compare.
bool is_same_work(scheduler const& context, std::size_t job,
                  job_spec const& other)
{
    job_spec const& known = *context.jobs_.spec_[job];
    if (context.jobs_.complete_[job] != 0)
    {
        return known.has_same_content(other);
    }
    job_spec const bare{.key_ = other.key_,
                        .service_ = other.service_,
                        .kind_ = other.kind_,
                        .task_count_ = other.task_count_,
                        .demand_ = other.demand_,
                        .idempotent_ = other.idempotent_,
                        .declared_run_micros_ = other.declared_run_micros_};
    return known.has_same_content(bare);
}

void hold_job(scheduler& context, std::size_t job)
{
    context.jobs_.held_[job] = 1;
    context.held_jobs_.insert(context.jobs_.index_.key(job));
}

// Completes a recovered job with the specification of its caller.
void complete_job(scheduler& context, std::size_t job,
                  job_submitted const& input)
{
    context.jobs_.spec_[job] = std::make_shared<job_spec const>(input.spec_);
    context.jobs_.complete_[job] = 1;
    if (is_final(context.jobs_.result_[job].state_))
    {
        return;
    }
    if (context.targets_.unknown_ > 0)
    {
        hold_job(context, job);
        return;
    }
    if (context.jobs_.canceled_[job] == 0)
    {
        add_missing_tasks(context, job);
    }
}

void repeat_job(scheduler& context, std::size_t job, job_submitted const& input)
{
    if (!is_same_work(context, job, input.spec_))
    {
        context.outbox_.push_back(
            job_changed{{.key_ = input.spec_.key_,
                         .state_ = job_state::not_run,
                         .reason_ = reason_other_content}});
        return;
    }
    if (context.jobs_.complete_[job] == 0)
    {
        complete_job(context, job, input);
    }
    context.outbox_.push_back(job_changed{context.jobs_.result_[job]});
}

} // namespace

// 2. Admission

namespace
{

// Expected wait of a new task by Little's law: what is queued before it, at
// the rate at which the team's running tasks end. 0 while there is room.
std::int64_t estimate_wait(team_table const& teams, std::size_t team)
{
    if (teams.blocked_[team] == 0 || teams.running_count_[team] == 0)
    {
        return 0;
    }
    return static_cast<std::int64_t>(teams.run_micros_[team] *
                                     teams.queued_[team] /
                                     teams.running_count_[team]);
}

// The team with the most queued tasks.
std::size_t find_longest_queue(team_table const& teams)
{
    auto const longest =
        std::max_element(teams.queued_.begin(), teams.queued_.end());
    return static_cast<std::size_t>(longest - teams.queued_.begin());
}

// When all queues together are full, the longest one gives way to a shorter
// one, so that a burst from one team slows only that team.
bool make_queue_room(scheduler& context, std::size_t team, std::uint32_t count)
{
    std::size_t const longest = find_longest_queue(context.teams_);
    if (context.teams_.queued_[team] + count >= context.teams_.queued_[longest])
    {
        return false;
    }
    std::uint32_t const bound = context.settings_.total_queue_tasks_;
    for (auto& queue : context.teams_.queues_[longest])
    {
        while (!queue.empty() && context.queued_tasks_ + count > bound)
        {
            job_key const last = queue.rbegin()->task_.job_;
            refuse_job(context, last, "queue is full",
                       context.settings_.retry_after_micros_);
        }
    }
    return context.queued_tasks_ + count <= bound;
}

std::string find_refusal(scheduler& context, job_submitted const& input,
                         std::size_t team)
{
    job_spec const& spec = input.spec_;
    if (spec.task_count_ == 0 || spec.demand_.has_negative())
    {
        return "malformed job";
    }
    if (!context.domain_.in_service_)
    {
        return std::string(reason_domain_out);
    }
    if (context.domain_.policy_known_ && context.teams_.configured_[team] == 0)
    {
        return "team is not configured";
    }
    if (spec.start_deadline_ <= context.now_)
    {
        return "start deadline passed";
    }
    if (input.recorded_)
    {
        return {}; // accepted earlier, bounds were checked then
    }
    if (context.teams_.queued_[team] + spec.task_count_ >
        context.settings_.team_queue_tasks_)
    {
        return "queue of the team is full";
    }
    if (context.now_.after(estimate_wait(context.teams_, team)) >
        spec.start_deadline_)
    {
        return "expected wait exceeds the start deadline";
    }
    if (context.queued_tasks_ + spec.task_count_ >
            context.settings_.total_queue_tasks_ &&
        !make_queue_room(context, team, spec.task_count_))
    {
        return "queue is full";
    }
    return {};
}

// Tells a refusal without a row: nothing was accepted, and a later attempt
// with the same id starts afresh.
void tell_refusal(scheduler& context, job_key const& key, std::size_t team,
                  std::string const& reason, job_state state)
{
    std::int64_t const retry_after =
        std::max(context.settings_.retry_after_micros_,
                 estimate_wait(context.teams_, team));
    context.outbox_.push_back(
        job_changed{{.key_ = key,
                     .state_ = state,
                     .reason_ = reason,
                     .retry_after_micros_ = retry_after}});
}

std::size_t append_submitted(scheduler& context, job_spec const& spec,
                             std::size_t team)
{
    std::size_t const work_class = find_or_append_class(
        context.estimates_, spec.key_.team_, spec.service_);
    std::size_t const job =
        append_job(context.jobs_, std::make_shared<job_spec const>(spec), team,
                   work_class);
    context.jobs_.complete_[job] = 1;
    context.jobs_.queued_at_[job] = context.now_;
    add_timer(context.timers_, spec.start_deadline_, timer_kind::start_deadline,
              task_key{spec.key_});
    return job;
}

void admit_job(scheduler& context, job_submitted const& input)
{
    job_spec const&   spec = input.spec_;
    std::size_t const team =
        find_or_append_team(context.teams_, spec.key_.team_);
    bool const may_run = input.may_run_ && spec.task_count_ > 0;
    if (may_run && (context.targets_.unknown_ > 0 || !spec.idempotent_))
    {
        hold_job(context, append_submitted(context, spec, team));
        return;
    }
    std::string const refusal = find_refusal(context, input, team);
    if (!refusal.empty())
    {
        // A target that was lost unseen may have run it.
        bool const ran = may_run && context.unseen_lost_;
        tell_refusal(context, spec.key_, team, refusal,
                     ran ? job_state::unknown : job_state::not_run);
        return;
    }
    std::size_t const job = append_submitted(context, spec, team);
    context.jobs_.ran_[job] = input.may_run_ && context.unseen_lost_ ? 1 : 0;
    add_missing_tasks(context, job);
    add_timer(context.timers_,
              context.now_.after(context.settings_.infeasible_hold_micros_),
              timer_kind::feasibility, task_key{spec.key_});
}

} // namespace

// 3. Events

namespace
{

// Accepted work that was to go to another failure domain, but found no place
// before its own came back. A job that was dispatched keeps its result, because
// a target ignores attempts that it has seen.
bool may_start_anew(scheduler const& context, std::size_t job,
                    job_submitted const& input)
{
    job_result const& result = context.jobs_.result_[job];
    return input.recorded_ && result.state_ == job_state::not_run &&
           result.reason_ == reason_domain_out &&
           context.jobs_.dispatched_[job] == 0 && context.domain_.in_service_;
}

} // namespace

void apply_event(scheduler& context, job_submitted const& input)
{
    auto const job = context.jobs_.index_.find(input.spec_.key_);
    if (job && !may_start_anew(context, *job, input))
    {
        repeat_job(context, *job, input);
        return;
    }
    if (job)
    {
        remove_job(context.jobs_, *job);
    }
    admit_job(context, input);
}

void apply_event(scheduler& context, jobs_canceled const& input)
{
    for (job_key const& job : input.jobs_)
    {
        cancel_job(context, job);
    }
}

} // namespace fescuevane::decide
