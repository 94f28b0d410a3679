// Purpose: the system that applies posted events to the tables, one function a
// kind of event.
#include "decide/scheduler.hpp"

#include <memory>
#include <utility>

namespace fescuevane::decide
{
namespace
{

void tell_job(scheduler& context, job_result const& result)
{
    auto const row = context.jobs_.index_.find(result.key_);
    if (row)
    {
        context.jobs_.result_.replace(*row, result);
        if (is_final(result.state_))
        {
            context.jobs_.keep_deadline_[*row] =
                context.now_.after(context.settings_.result_keep_micros_);
        }
    }
    context.outbox_.push_back(job_changed{result});
}

void apply(scheduler& /*context*/, policy_set const& /*input*/) {}

void apply(scheduler& context, target_joined const& input)
{
    if (!context.targets_.index_.contains(input.target_))
    {
        append_target(context.targets_, input);
    }
}

void apply(scheduler& /*context*/, target_unreached const& /*input*/) {}

void apply(scheduler& context, target_leaving const& input)
{
    if (auto const row = context.targets_.index_.find(input.target_))
    {
        context.targets_.accepts_[*row] = 0;
    }
}

void apply(scheduler& context, target_lost const& input)
{
    if (auto const row = context.targets_.index_.find(input.target_))
    {
        remove_target(context.targets_, *row);
    }
}

void apply(scheduler& context, job_submitted const& input)
{
    if (auto const row = context.jobs_.index_.find(input.spec_.key_))
    {
        context.outbox_.push_back(job_changed{context.jobs_.result_[*row]});
        return;
    }
    append_job(context.jobs_, std::make_shared<job_spec const>(input.spec_));
    for (std::uint32_t i = 0; i < input.spec_.task_count_; ++i)
    {
        append_task(context.tasks_, task_key{input.spec_.key_, i, 1},
                    input.spec_.demand_);
    }
}

void apply(scheduler& /*context*/, jobs_canceled const& /*input*/) {}

void apply(scheduler& context, task_started const& input)
{
    auto const row = context.tasks_.index_.find(input.task_);
    if (row && context.tasks_.phase_[*row] == task_phase::dispatched)
    {
        context.tasks_.phase_[*row] = task_phase::running;
        tell_job(context, {.key_ = input.task_.job_,
                           .state_ = job_state::running,
                           .attempt_ = input.task_.attempt_,
                           .target_ = input.target_});
    }
}

void apply(scheduler& context, task_ended const& input)
{
    auto const row = context.tasks_.index_.find(input.task_);
    if (!row || context.tasks_.target_[*row] != input.target_)
    {
        return; // an end that was applied before
    }
    if (auto const target = context.targets_.index_.find(input.target_))
    {
        release_on_target(context.targets_, *target,
                          context.tasks_.reservation_[*row]);
    }
    remove_task(context.tasks_, *row);
    auto const job = context.jobs_.index_.find(input.task_.job_);
    if (job && --context.jobs_.open_tasks_[*job] == 0)
    {
        tell_job(context, {.key_ = input.task_.job_,
                           .state_ = job_state::answered,
                           .outcome_ = input.outcome_,
                           .attempt_ = input.task_.attempt_,
                           .body_ = input.body_,
                           .reason_ = input.reason_,
                           .target_ = input.target_});
    }
}

void apply(scheduler& /*context*/, task_rejected const& /*input*/) {}
void apply(scheduler& /*context*/, task_recovered const& /*input*/) {}
void apply(scheduler& /*context*/, usage_reported const& /*input*/) {}

} // namespace

void apply_events(scheduler& context)
{
    std::vector<event> const inbox = std::exchange(context.inbox_, {});
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

} // namespace fescuevane::decide
