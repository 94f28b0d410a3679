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
    std::uint32_t              runs_ = 0;     // rows of the run table
    std::uint32_t              last_run_ = 0; // highest number given
    std::vector<std::uint32_t> failed_runs_;
    std::vector<std::uint32_t> unreported_runs_; // whose ends may be listed yet
    target_id                  failed_on_;       // latest failure or stall
    bool moved_ = false; // was stopped once because its target seemed slow
    std::string   checkpoint_;       // latest, empty: none
    instant       ready_at_;         // not started before
    instant       waiting_since_;    // last started, ended or opened
    job_id        delegate_;         // job that runs it at another shard
    std::uint32_t delegate_run_ = 0; // its only run, for a part of a gang
    std::uint32_t failures_ = 0;     // before the job was handed to this shard
    bool held_ = false; // unread ends may be the last failures that it may have
};

// True when the task is to be started here.
inline bool is_waiting(task_cell const& task)
{
    return !task.done_ && task.runs_ == 0 && task.delegate_.empty() &&
           !task.held_;
}

} // namespace fescuevane::plan

#endif
