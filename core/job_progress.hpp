// Purpose: what has to survive of a staged job's progress.
#ifndef FESCUEVANE_CORE_JOB_PROGRESS_HPP
#define FESCUEVANE_CORE_JOB_PROGRESS_HPP

#include "core/ids.hpp"
#include "core/index_ranges.hpp"
#include "core/job_phase.hpp"
#include "core/task_progress.hpp"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace fescuevane
{

// Tasks that are neither done nor listed have never failed, have no checkpoint
// and aren't delegated.
struct job_progress
{
    job_phase phase_ = job_phase::pending;
    bool      withdrawn_ = false; // canceled before it was submitted
    std::vector<task_progress> tasks_;
    std::vector<job_id>        delegates_; // still to be ended, of an ended job

    // Occurrences in which a step has ended, by step.
    std::map<std::uint32_t, index_ranges> ended_steps_;
    // Tasks that are done in a step that hasn't ended, by occurrence and step.
    std::map<std::pair<std::uint32_t, std::uint32_t>, index_ranges> done_tasks_;

    friend bool operator==(job_progress const&, job_progress const&) = default;
};

} // namespace fescuevane

#endif
