// Purpose: row of an open stage: one step of one occurrence of a job.
#ifndef FESCUEVANE_PLAN_STAGE_ROW_HPP
#define FESCUEVANE_PLAN_STAGE_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/staged_job.hpp"
#include "plan/part_phase.hpp"
#include "plan/task_list.hpp"
#include "plan/ticket_cell.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace fescuevane::plan
{

struct stage_row
{
    std::shared_ptr<staged_job const> spec_; // of its job
    task_list                         tasks_;
    std::uint32_t                     done_ = 0;
    double                     ran_ms_ = 0;  // mean run time of its ended tasks
    double                     samples_ = 0; // number of them
    bool                       startable_ = false; // predecessors have ended
    std::uint32_t              gang_run_ = 0; // number of the gang's latest run
    std::vector<std::uint32_t> gang_failures_; // run numbers
    part_phase                 part_ = part_phase::none;
    instant                    part_until_; // it starts before, or ends

    // Claims to room within the organisation's limit
    std::uint32_t turns_ = 0;               // that passed without a start
    std::int64_t  claim_ended_unix_ms_ = 0; // of the latest one
    instant       claim_after_;

    // Room held for a gang
    instant       hold_until_ = instant::never(); // never: it holds none
    instant       room_at_ = instant::never();    // all of it is expected
    instant       hold_after_;
    instant       hold_ended_at_;   // of the latest one without a start
    std::uint32_t holds_ended_ = 0; // without a start

    std::unordered_map<target_id, ticket_cell> tickets_;
    std::uint32_t asked_ = 0;              // questions in flight
    bool          requested_long_ = false; // their answers are long
    instant       requested_at_;           // the latest question
    instant       request_after_;
};

// Tasks to start here.
inline std::int64_t count_waiting(stage_row const& stage)
{
    return stage.tasks_.waiting();
}

} // namespace fescuevane::plan

#endif
