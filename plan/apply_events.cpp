// Purpose: system: moves posted events into the tables.
//
// Index of sections
//   1. Configuration and process
//   2. Targets
//   3. Jobs
//   4. Runs
//   5. Run times of other shards and owners
//   6. Advice
#include "core/job_progress.hpp"
#include "plan/job_flow.hpp"
#include "plan/offers.hpp"
#include "plan/parts.hpp"
#include "plan/planner.hpp"
#include "plan/promise_returns.hpp"
#include "plan/rate_credit.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::plan
{
namespace
{

// 1. Configuration and process

void apply(planner& context, queues_set const& input)
{
    // Removed queues don't stay: a planner that is made now wouldn't have them.
    std::vector<queue_id> const known = context.queues_.keys();
    for (queue_id const& id : known)
    {
        context.queues_.remove(id);
    }
    for (queue_policy const& queue : input.queues_)
    {
        context.queues_.ensure(queue.id_) = queue;
    }
    apply_attempt_limits(context);
}

void apply(planner& context, organisations_set const& input)
{
    for (organisation_row& row : context.organisations_)
    {
        row.weight_ = 0;
        row.limit_ = resources();
    }
    for (organisation_share const& share : input.organisations_)
    {
        organisation_row& row = context.organisations_.ensure(share.id_);
        row.weight_ = share.weight_;
        row.limit_ = share.limit_;
    }
}

void apply(planner& context, limit_claims_updated const& input)
{
    for (claim_row& row : context.claims_)
    {
        row.limit_ = resources();
        row.withheld_ = resources();
        row.granted_ = false;
    }
    for (active_limit_claim const& turn : input.turns_)
    {
        claim_row& row = context.claims_.ensure(turn.organisation_);
        row.limit_ = turn.limit_;
        row.withheld_ = turn.withheld_;
        row.granted_ = turn.granted_;
    }
}

void apply(planner& context, domain_service_changed const& input)
{
    context.in_service_ = input.in_service_;
}

void apply(planner& context, on_time_changed const& input)
{
    context.on_time_ = input.on_time_;
}

void apply(planner& context, advice_limit_changed const& input)
{
    context.max_long_requests_ = input.long_requests_;
}

// 2. Targets

void apply(planner& context, target_set const& input)
{
    bool const  is_new = !context.targets_.contains(input.id_);
    target_row& row = context.targets_.ensure(input.id_);
    if (is_new)
    {
        // A target that was removed and is added again starts without charges;
        // its former runs may still be charged elsewhere.
        row = target_row();
    }
    row.service_ = input.service_;
    row.rack_ = input.rack_;
    row.labels_ = input.labels_;
    row.capacity_ = input.capacity_;
    row.phase_ = input.phase_;
    row.stops_until_ = input.stops_until_;
}

void apply(planner& context, target_removed const& input)
{
    std::vector<run_key> runs;
    for (std::size_t const row : context.runs_.on_target(input.id_))
    {
        runs.push_back(context.runs_.key(row));
    }
    for (run_key const& run : runs)
    {
        end_run(context, run, input.id_, run_end::lost, "");
    }
    settle_unreported_ends(context, input.id_);
    context.targets_.remove(input.id_);
}

void apply(planner& context, unreported_ends_settled const& input)
{
    settle_unreported_ends(context, input.id_);
}

// 3. Jobs

// Jobs that an organisation submits faster than its weight, in jobs per second,
// rank behind all others, so that a flood delays only the organisation that
// causes it.
bool exceeds_rate(planner& context, organisation_id const& id)
{
    organisation_row& row = context.organisations_.ensure(id);
    if (row.weight_ <= 0)
    {
        return false;
    }
    row.credit_ = find_credit(row, context.now_);
    row.credit_at_ = context.now_;
    if (row.credit_ < 1)
    {
        return true;
    }
    row.credit_ -= 1;
    return false;
}

void apply(planner& context, job_added const& input)
{
    if (context.jobs_.contains(input.job_->id_))
    {
        return;
    }
    job_row job;
    job.spec_ = input.job_;
    job.phase_ = input.progress_.phase_;
    job.accepted_at_ = take_first_request(context, input.job_->id_)
                           .value_or(input.accepted_at_);
    job.recovered_ = input.recovered_;
    job.over_rate_ = !input.recovered_ && !input.job_->alias_ &&
                     exceeds_rate(context, input.job_->organisation_);
    job.ended_steps_ = input.progress_.ended_steps_;
    job.closed_done_ = input.progress_.done_tasks_;
    for (task_progress const& task : input.progress_.tasks_)
    {
        job.closed_tasks_[{task.occurrence_, task.step_}].push_back(task);
    }
    bool const open = !is_final(job.phase_);
    bool const timed = input.job_->repeat_count_ > 0;
    context.jobs_.ensure(input.job_->id_) = std::move(job);
    if (open)
    {
        context.estimates_.emplace(context.now_, input.job_->id_);
    }
    if (open && !timed)
    {
        context.jobs_.find(input.job_->id_)->next_occurrence_ = 1;
        open_occurrence(context, input.job_->id_, 0);
        take_over_offer(context, input.job_->id_);
        if (is_part(*input.job_))
        {
            begin_part(context, input.job_->id_);
        }
    }
    if (open && timed)
    {
        context.timed_.insert(input.job_->id_);
        open_stored(context, input.job_->id_, input.progress_);
    }
}

void apply(planner& context, job_offered const& input)
{
    add_offer(context, input);
}

void apply(planner& context, job_canceled const& input)
{
    if (context.jobs_.contains(input.id_))
    {
        close_job(context, input.id_, job_phase::canceled);
    }
}

void apply(planner& context, job_dropped const& input)
{
    job_row* const job = context.jobs_.find(input.id_);
    if (job == nullptr)
    {
        return;
    }
    if (!is_final(job->phase_))
    {
        close_job(context, input.id_, job_phase::canceled);
    }
    context.jobs_.remove(input.id_);
}

// 4. Runs

void apply(planner& context, run_confirmed const& input)
{
    run_row const* const run = context.runs_.find(input.run_);
    if (run != nullptr && run->target_ == input.target_ &&
        run->phase_ == run_phase::starting)
    {
        run_state& state = *context.runs_.find_state(input.run_);
        state.phase_ = run_phase::running;
        state.started_at_ = context.now_;
        state.progressed_at_ = context.now_;
        state.base_at_ = context.now_;
    }
}

void apply(planner& context, run_refused const& input)
{
    if (target_row* const target = context.targets_.find(input.target_))
    {
        if (input.reason_ == refusal::room ||
            input.reason_ == refusal::unhealthy)
        {
            target->paused_until_ =
                context.now_.after(context.settings_.refusal_pause_micros_);
        }
    }
    if (stage_row* const stage = context.stages_.find(input.run_.stage_))
    {
        if (input.reason_ == refusal::ticket)
        {
            auto const ticket = stage->tickets_.find(input.target_);
            if (ticket != stage->tickets_.end())
            {
                ticket->second.valid_until_ = instant();
            }
        }
        if (input.run_.index_ < stage->tasks_.size())
        {
            instant const ready =
                context.now_.after(context.settings_.refusal_pause_micros_);
            stage->tasks_.change(input.run_.index_,
                                 [&](task_cell& task)
                                 {
                                     task.ready_at_ = ready;
                                 });
            context.ready_at_.insert(ready);
        }
    }
    discard_run(context, input.run_);
}

void apply(planner& context, run_ended const& input)
{
    open_reported(context, input.run_.stage_);
    end_run(context, input.run_, input.target_, input.end_, input.checkpoint_);
    if (input.unread_)
    {
        keep_unreported_end(context, input.run_, input.target_);
    }
}

// Stops a reported run that belongs to no open stage: its job has ended or
// belongs to another shard.
void reject_run(planner& context, run_seen const& input)
{
    target_row* const target = context.targets_.find(input.target_);
    if (target != nullptr && target->unknown_runs_.insert(input.run_).second)
    {
        context.outbox_.push_back(
            note{"unknown_run_stopped", input.run_, input.target_,
                 context.stages_.contains(input.run_.stage_)
                     ? "the task runs elsewhere or is done"
                     : "its job has ended or belongs to another shard"});
    }
    context.outbox_.push_back(stop_run{input.run_, input.target_});
}

bool belongs_to_stage(planner const& context, run_seen const& input)
{
    stage_row const* const stage = context.stages_.find(input.run_.stage_);
    if (stage == nullptr || input.run_.index_ >= stage->tasks_.size())
    {
        return false;
    }
    task_cell const& task = stage->tasks_[input.run_.index_];
    bool const copies = find_step(context, input.run_.stage_).speculative_;
    return !task.done_ && task.delegate_.empty() && (task.runs_ == 0 || copies);
}

void note_progress(planner& context, run_state& run, run_seen const& input)
{
    if (run.phase_ == run_phase::starting)
    {
        run.phase_ = run_phase::running;
        run.started_at_ = context.now_;
        run.progressed_at_ = context.now_;
    }
    if (run.base_percent_ < 0)
    {
        run.base_percent_ = input.percent_;
        run.base_at_ = context.now_;
    }
    if (input.percent_ > run.percent_)
    {
        run.percent_ = input.percent_;
        run.progressed_at_ = context.now_;
    }
    run.load_ = input.load_;
}

void apply(planner& context, run_seen const& input)
{
    open_reported(context, input.run_.stage_);
    run_row const* const run = context.runs_.find(input.run_);
    if (run != nullptr && run->target_ != input.target_)
    {
        reject_run(context, input);
        return;
    }
    if (run == nullptr)
    {
        if (!belongs_to_stage(context, input))
        {
            reject_run(context, input);
            return;
        }
        adopt_run(context, input.run_, input.target_, input.percent_);
    }
    note_progress(context, *context.runs_.find_state(input.run_), input);
    if (stage_row* const stage = context.stages_.find(input.run_.stage_))
    {
        keep_checkpoint(*stage, find_step(context, input.run_.stage_),
                        input.run_.index_, input.checkpoint_);
    }
}

void apply(planner& context, tasks_delegated const& input)
{
    delegate_tasks(context, input);
}

void apply(planner& context, delegate_ended const& input)
{
    end_delegate(context, input.stage_, input.delegate_, input.phase_);
}

void apply(planner& context, delegate_end_stored const& input)
{
    release_returned_tasks(context, input.stage_, input.delegate_);
}

void apply(planner& context, part_ordered const& input)
{
    order_part(context, input);
}

void apply(planner& context, part_withdrawn const& input)
{
    withdraw_part(context, input);
}

// 5. Run times of other shards and owners

void apply(planner& context, run_times_restored const& input)
{
    restore_run_times(context.run_times_, input.rows_, context.unix_ms_);
}

void apply(planner& context, run_times_shared const& input)
{
    context.run_times_.others_ = input.rows_;
}

// 6. Advice

void apply(planner& context, advice_given const& input)
{
    stage_row* const stage = context.stages_.find(input.stage_);
    if (stage == nullptr || stage->asked_ == 0)
    {
        return;
    }
    close_advice_request(context, *stage);
    for (target_id const& target : input.asked_)
    {
        stage->tickets_[target] = ticket_cell();
    }
    for (target_ticket const& good : input.good_)
    {
        stage->tickets_[good.target_] = {true, good.ticket_,
                                         input.valid_until_};
    }
}

void apply(planner& context, advice_failed const& input)
{
    stage_row* const stage = context.stages_.find(input.stage_);
    if (stage == nullptr || stage->asked_ == 0)
    {
        return;
    }
    close_advice_request(context, *stage);
    stage->request_after_ =
        context.now_.after(context.settings_.advice_retry_micros_);
}

} // namespace

void apply_events(planner& context)
{
    std::vector<event> inbox;
    inbox.swap(context.inbox_);
    for (event const& input : inbox)
    {
        std::visit(
            [&context](auto const& value)
            {
                apply(context, value);
            },
            input);
    }
}

} // namespace fescuevane::plan
