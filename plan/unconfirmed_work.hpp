// Purpose: what targets that a new owner hasn't reached may still tell.
#ifndef FESCUEVANE_PLAN_UNCONFIRMED_WORK_HPP
#define FESCUEVANE_PLAN_UNCONFIRMED_WORK_HPP

#include "core/step_spec.hpp"
#include "plan/job_row.hpp"

namespace fescuevane::plan
{

struct planner;

struct unconfirmed_work
{
    bool const runs_ = false; // some target may run work that nobody reported
    bool const ends_ = false; // some target may list ends that nobody read

    friend bool operator==(unconfirmed_work const&,
                           unconfirmed_work const&) = default;
};

unconfirmed_work find_unconfirmed_work(planner const& context);

// True when a task of the step may be at work, or have ended, unseen.
inline bool may_be_unconfirmed(unconfirmed_work const& unseen,
                               job_row const& job, step_spec const& step)
{
    return job.recovered_ &&
           (has_single_result(step) ? unseen.ends_ : unseen.runs_);
}

// True while a task of the step can't be handed over: an unread end of it
// counts where the task is. That holds also for tasks that may start before,
// but not for those that last, since their ends count for nothing.
inline bool may_have_unreported_end(unconfirmed_work const& unseen,
                                    job_row const& job, step_spec const& step)
{
    return job.recovered_ && (step.perpetual_ ? unseen.runs_ : unseen.ends_);
}

} // namespace fescuevane::plan

#endif
