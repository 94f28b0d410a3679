// Purpose: command: the progress of a job has to be stored.
#ifndef FESCUEVANE_PLAN_JOB_CHANGED_HPP
#define FESCUEVANE_PLAN_JOB_CHANGED_HPP

#include "core/ids.hpp"

namespace fescuevane::plan
{

struct job_changed
{
    job_id const id_;

    friend bool operator==(job_changed const&, job_changed const&) = default;
};

} // namespace fescuevane::plan

#endif
