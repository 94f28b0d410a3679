// Purpose: the system that decides about jobs that an unreached target might
// have run, once every target is accounted for.
#include "decide/job_flow.hpp"
#include "decide/scheduler.hpp"
#include "decide/task_flow.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuevane::decide
{
namespace
{

// A non-idempotent job starts only once. One that is found nowhere may have run
// on a target that has restarted or left the fleet since, so "not run" can't be
// claimed.
void release_non_idempotent(scheduler& context, std::size_t job)
{
    auto const& attempts = context.jobs_.attempts_[job];
    auto const  missing = static_cast<std::uint32_t>(
        std::count(attempts.begin(), attempts.end(), 0U));
    if (missing < attempts.size())
    {
        context.jobs_.lost_[job] = missing > 0 ? 1 : 0;
        context.jobs_.open_tasks_[job] -= missing;
        return;
    }
    tell_unknown(context, job, "not found on any target after a takeover");
}

// Tasks in flight end the job; otherwise nothing of it runs any more.
void release_canceled(scheduler& context, std::size_t job)
{
    if (context.unseen_lost_ && context.jobs_.dispatched_[job] == 0)
    {
        tell_unknown(context, job, reason_canceled);
        return;
    }
    refuse_job(context, context.jobs_.index_.key(job), reason_canceled, 0);
}

void release_job(scheduler& context, std::size_t job)
{
    context.jobs_.held_[job] = 0;
    job_key const key = context.jobs_.index_.key(job);
    if (context.jobs_.canceled_[job] != 0)
    {
        release_canceled(context, job);
        return;
    }
    if (!context.jobs_.spec_[job]->idempotent_)
    {
        release_non_idempotent(context, job);
        return;
    }
    context.jobs_.ran_[job] =
        context.unseen_lost_ ? 1 : context.jobs_.ran_[job];
    add_missing_tasks(context, job);
    add_timer(context.timers_,
              context.now_.after(context.settings_.infeasible_hold_micros_),
              timer_kind::feasibility, task_key{key});
}

} // namespace

void release_held_jobs(scheduler& context)
{
    if (context.targets_.unknown_ > 0 || context.held_jobs_.empty())
    {
        return;
    }
    std::set<job_key> const held = std::exchange(context.held_jobs_, {});
    for (job_key const& key : held)
    {
        auto const job = context.jobs_.index_.find(key);
        if (job && !is_final(context.jobs_.result_[*job].state_))
        {
            release_job(context, *job);
        }
    }
}

} // namespace fescuevane::decide
