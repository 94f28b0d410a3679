// Purpose: event: a caller canceled a job.
#ifndef FESCUEVANE_PLAN_JOB_CANCELED_HPP
#define FESCUEVANE_PLAN_JOB_CANCELED_HPP

#include "core/ids.hpp"

namespace fescuevane::plan
{

struct job_canceled
{
    job_id const id_;

    friend bool operator==(job_canceled const&, job_canceled const&) = default;
};

} // namespace fescuevane::plan

#endif
