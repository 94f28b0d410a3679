// Purpose: what has to survive of a staged job's progress.
#ifndef FESCUEVANE_CORE_JOB_PROGRESS_HPP
#define FESCUEVANE_CORE_JOB_PROGRESS_HPP

#include "core/ids.hpp"
#include "core/job_phase.hpp"
#include "core/task_progress.hpp"

#include <vector>

namespace fescuevane
{

// Only tasks with something to tell are listed.
struct job_progress
{
    job_phase                  phase_ = job_phase::pending;
    std::vector<task_progress> tasks_;
    std::vector<job_id>        delegates_; // still to be ended, of an ended job

    friend bool operator==(job_progress const&, job_progress const&) = default;
};

} // namespace fescuevane

#endif
