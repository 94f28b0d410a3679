// Purpose: state of one task of an open stage.
#ifndef FESCUEVANE_PLAN_TASK_CELL_HPP
#define FESCUEVANE_PLAN_TASK_CELL_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::plan
{

struct task_cell
{
    bool                       done_ = false;
    std::uint32_t              runs_ = 0;     // its rows in the run table
    std::uint32_t              last_run_ = 0; // highest run number so far
    std::vector<std::uint32_t> failed_runs_;
    std::vector<std::uint32_t> unreported_runs_; // ends may be reported yet
    target_id   failed_on_;     // target of the latest failure or stall
    bool        moved_ = false; // was stopped once because its target was slow
    std::string checkpoint_;    // latest, empty: none
    instant     ready_at_;      // earliest next start
    instant     waiting_since_; // latest end of a run, return or stage start
    job_id      delegate_;      // job that runs it on another shard
    std::uint32_t delegate_run_ = 0; // its run number in a part of a gang
    job_id        ended_delegate_;   // latest one, until its end is stored
    std::uint32_t failures_ = 0; // before the job was delegated to this shard
    bool          held_ = false; // unreported ends may use up its attempts
};

// True when this shard has to start the task.
inline bool is_waiting(task_cell const& task)
{
    return !task.done_ && task.runs_ == 0 && task.delegate_.empty() &&
           task.ended_delegate_.empty() && !task.held_;
}

} // namespace fescuevane::plan

#endif
