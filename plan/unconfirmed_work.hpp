// Purpose: runs and ends of a former owner that targets haven't reported yet.
#ifndef FESCUEVANE_PLAN_UNCONFIRMED_WORK_HPP
#define FESCUEVANE_PLAN_UNCONFIRMED_WORK_HPP

#include "core/step_spec.hpp"
#include "plan/job_row.hpp"

namespace fescuevane::plan
{

struct planner;

struct unconfirmed_work
{
    bool const runs_ = false; // some target may run work it hasn't reported
    bool const ends_ = false; // some target may still report an end

    friend bool operator==(unconfirmed_work const&,
                           unconfirmed_work const&) = default;
};

unconfirmed_work find_unconfirmed_work(planner const& context);

// True when a task of the step may be running, or may have ended, without a
// report of its target so far.
inline bool may_be_unconfirmed(unconfirmed_work const& unconfirmed,
                               job_row const& job, step_spec const& step)
{
    return job.recovered_ &&
           (has_single_result(step) ? unconfirmed.ends_ : unconfirmed.runs_);
}

// True while a task of the step can't be handed over, because an unreported end
// of it counts for the shard that has the task. This also holds for tasks that
// may start again before, but not for long-running ones, whose ends aren't
// counted.
inline bool may_have_unreported_end(unconfirmed_work const& unconfirmed,
                                    job_row const& job, step_spec const& step)
{
    return job.recovered_ &&
           (step.perpetual_ ? unconfirmed.runs_ : unconfirmed.ends_);
}

} // namespace fescuevane::plan

#endif
