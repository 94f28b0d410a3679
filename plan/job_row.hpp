// Purpose: row of a staged job.
#ifndef FESCUEVANE_PLAN_JOB_ROW_HPP
#define FESCUEVANE_PLAN_JOB_ROW_HPP

#include "core/instant.hpp"
#include "core/job_phase.hpp"
#include "core/job_progress.hpp"
#include "core/staged_job.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace fescuevane::plan
{

struct job_row
{
    std::shared_ptr<staged_job const> spec_;
    job_phase                         phase_ = job_phase::pending;
    instant                           accepted_at_;
    bool          recovered_ = false;   // may have unconfirmed runs
    bool          over_rate_ = false;   // above its organisation's rate
    std::uint32_t runs_ = 0;            // its rows in the run table
    std::uint32_t next_occurrence_ = 0; // first one that isn't open yet
    std::uint32_t open_stages_ = 0;     // its rows in the stage table

    // Expected milliseconds from the start of each step to the end of the last
    // step that depends on it; that of the job is the longest one.
    std::vector<double> critical_paths_ms_;
    double              critical_path_ms_ = 0;
    instant             critical_paths_until_; // next estimate after

    // Progress of stages that aren't open: ended ones, and recovered ones that
    // haven't been opened yet.
    std::map<std::pair<std::uint32_t, std::uint32_t>,
             std::vector<task_progress>>
        closed_progress_;
};

} // namespace fescuevane::plan

#endif
