// Purpose: what has to survive of one task's progress.
#ifndef FESCUEVANE_CORE_TASK_PROGRESS_HPP
#define FESCUEVANE_CORE_TASK_PROGRESS_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane
{

// Failed runs are kept by number, so that an end that is reported again after a
// change of owner isn't counted twice.
struct task_progress
{
    std::uint32_t              occurrence_ = 0;
    std::uint32_t              step_ = 0;
    std::uint32_t              index_ = 0;
    bool                       done_ = false;
    std::uint32_t              last_run_ = 0; // highest number known
    std::vector<std::uint32_t> failed_runs_;
    std::string                checkpoint_;
    job_id                     delegate_; // job that runs the task elsewhere
    std::uint32_t gang_run_ = 0;          // its only run, for a part of a gang

    friend bool operator==(task_progress const&,
                           task_progress const&) = default;
};

} // namespace fescuevane

#endif
