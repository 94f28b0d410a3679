// Purpose: row of a staged job.
#ifndef FESCUEVANE_PLAN_JOB_ROW_HPP
#define FESCUEVANE_PLAN_JOB_ROW_HPP

#include "core/index_ranges.hpp"
#include "core/instant.hpp"
#include "core/job_phase.hpp"
#include "core/job_progress.hpp"
#include "core/staged_job.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
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
    std::uint64_t open_tasks_ = 0;      // tasks of its open stages

    // Occurrences from `next_occurrence_` on that were opened because they were
    // reported or had stored progress.
    std::set<std::uint32_t> opened_early_;

    // Its rows in the stage table, by occurrence and step.
    std::set<std::pair<std::uint32_t, std::uint32_t>> open_stages_;

    // Expected milliseconds from the start of each step to the end of the last
    // step that depends on it; that of the job is the longest one.
    std::vector<double> critical_paths_ms_;
    double              critical_path_ms_ = 0;
    instant             critical_paths_until_; // next estimate after

    // Occurrences in which a step has ended, by step.
    std::map<std::uint32_t, index_ranges> ended_steps_;

    // Progress in stages that aren't open, by occurrence and step: stored tasks
    // and done tasks of those that haven't been opened yet, and delegated tasks
    // of ended ones.
    std::map<std::pair<std::uint32_t, std::uint32_t>,
             std::vector<task_progress>>
        closed_tasks_;
    std::map<std::pair<std::uint32_t, std::uint32_t>, index_ranges>
        closed_done_;
};

} // namespace fescuevane::plan

#endif
