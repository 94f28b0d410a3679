// Purpose: event: a job was accepted or taken over.
#ifndef FESCUEVANE_PLAN_JOB_ADDED_HPP
#define FESCUEVANE_PLAN_JOB_ADDED_HPP

#include "core/instant.hpp"
#include "core/job_progress.hpp"
#include "core/staged_job.hpp"

#include <memory>

namespace fescuevane::plan
{

struct job_added
{
    std::shared_ptr<staged_job const> const job_;
    job_progress const                      progress_;
    instant const                           accepted_at_;
    bool const recovered_ = false; // targets may have runs of it

    friend bool operator==(job_added const&, job_added const&) = default;
};

} // namespace fescuevane::plan

#endif
