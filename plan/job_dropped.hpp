// Purpose: event: a job is no longer this planner's.
#ifndef FESCUEVANE_PLAN_JOB_DROPPED_HPP
#define FESCUEVANE_PLAN_JOB_DROPPED_HPP

#include "core/ids.hpp"

namespace fescuevane::plan
{

// It has ended and its result need not be kept, or it goes on at another shard.
struct job_dropped
{
    job_id const id_;

    friend bool operator==(job_dropped const&, job_dropped const&) = default;
};

} // namespace fescuevane::plan

#endif
