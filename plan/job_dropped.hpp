// Purpose: event: a job no longer belongs to this planner.
#ifndef FESCUEVANE_PLAN_JOB_DROPPED_HPP
#define FESCUEVANE_PLAN_JOB_DROPPED_HPP

#include "core/ids.hpp"

namespace fescuevane::plan
{

// The job has ended and its result need not be kept, or another shard continues
// it.
struct job_dropped
{
    job_id const id_;

    friend bool operator==(job_dropped const&, job_dropped const&) = default;
};

} // namespace fescuevane::plan

#endif
