// Purpose: event: another shard requests whether tasks could run here.
#ifndef FESCUEVANE_PLAN_JOB_OFFERED_HPP
#define FESCUEVANE_PLAN_JOB_OFFERED_HPP

#include "core/instant.hpp"
#include "core/staged_job.hpp"

#include <memory>

namespace fescuevane::plan
{

struct job_offered
{
    std::shared_ptr<staged_job const> const job_; // as it would be handed over
    instant const                           accepted_at_;
    instant const                           answer_by_;

    friend bool operator==(job_offered const&, job_offered const&) = default;
};

} // namespace fescuevane::plan

#endif
