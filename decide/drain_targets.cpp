// Purpose: the system that takes work away from leaving targets and from a
// failure domain out of service, and refuses the work of removed teams.
#include "decide/job_flow.hpp"
#include "decide/scheduler.hpp"
#include "decide/task_flow.hpp"

#include <vector>

namespace fescuevane::decide
{
namespace
{

// Requests end by themselves, and what can't start again isn't moved.
bool is_movable(job_spec const& spec)
{
    return spec.kind_ != work_kind::request && spec.idempotent_;
}

void move_tasks(scheduler& context, std::size_t target)
{
    for (task_key const& key : context.targets_.tasks_[target])
    {
        auto const task = context.tasks_.index_.find(key);
        auto const job = context.jobs_.index_.find(key.job_);
        if (task && job && is_movable(*context.jobs_.spec_[*job]) &&
            context.tasks_.phase_[*task] != task_phase::stopping)
        {
            stop_running_task(context, *task, stop_cause::moved, true);
        }
    }
}

void refuse_queues(scheduler& context, std::size_t team,
                   std::string_view reason, bool moving)
{
    for (auto& queue : context.teams_.queues_[team])
    {
        while (!queue.empty())
        {
            job_key const job = queue.begin()->task_.job_;
            refuse_job(context, job, reason,
                       context.settings_.retry_after_micros_, moving);
        }
    }
}

} // namespace

void drain_targets(scheduler& context)
{
    bool const out = !context.domain_.in_service_;
    for (std::size_t row = 0;
         context.drain_needed_ && row < context.targets_.index_.size(); ++row)
    {
        if (out || context.targets_.leaving_[row] != 0)
        {
            move_tasks(context, row);
        }
    }
    context.drain_needed_ = false;
    for (std::size_t team = 0;
         context.queued_tasks_ > 0 && team < context.teams_.index_.size();
         ++team)
    {
        if (out)
        {
            refuse_queues(context, team, reason_domain_out, true);
        }
        else if (context.domain_.policy_known_ &&
                 context.teams_.configured_[team] == 0)
        {
            refuse_queues(context, team, "team is not configured", false);
        }
    }
}

} // namespace fescuevane::decide
