// Purpose: command: tell the state of a job.
#ifndef FESCUEVANE_DECIDE_JOB_CHANGED_HPP
#define FESCUEVANE_DECIDE_JOB_CHANGED_HPP

#include "core/job_result.hpp"

namespace fescuevane::decide
{

// Sent at each change of state and in reply to a repeated submission.
struct job_changed
{
    job_result const result_;

    friend bool operator==(job_changed const&, job_changed const&) = default;
};

} // namespace fescuevane::decide

#endif
