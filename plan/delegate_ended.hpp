// Purpose: event: a job that runs delegated tasks at another shard has ended.
#ifndef FESCUEVANE_PLAN_DELEGATE_ENDED_HPP
#define FESCUEVANE_PLAN_DELEGATE_ENDED_HPP

#include "core/ids.hpp"
#include "core/job_phase.hpp"
#include "core/stage_key.hpp"

namespace fescuevane::plan
{

struct delegate_ended
{
    stage_key const stage_;
    job_id const    delegate_;
    job_phase const phase_ =
        job_phase::completed; // canceled: tasks are returned

    friend bool operator==(delegate_ended const&,
                           delegate_ended const&) = default;
};

} // namespace fescuevane::plan

#endif
