// Purpose: row of an open stage: one step of one occurrence of a job.
#ifndef FESCUEVANE_PLAN_STAGE_ROW_HPP
#define FESCUEVANE_PLAN_STAGE_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/staged_job.hpp"
#include "plan/part_phase.hpp"
#include "plan/run_time_estimate.hpp"
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
    double                     log_ran_ = 0; // sum of ln(run time in ms)
    run_time_estimate          model_;       // at the latest merge, 0: none
    bool                       startable_ = false; // predecessors have ended
    std::uint32_t              gang_run_ = 0; // number of the gang's latest run
    std::vector<std::uint32_t> gang_failures_; // run numbers
    part_phase                 part_ = part_phase::none;
    instant                    part_until_; // deadline of its start, or it ends

    // Claims to room within the organisation's limit. A turn is the time for
    // which a claim of the stage is active.
    std::uint32_t turns_ = 0;               // turns that passed without a start
    std::int64_t  claim_ended_unix_ms_ = 0; // end of the latest turn
    instant       claim_after_;

    // Reservation of room for a gang
    instant       hold_until_ = instant::never(); // never: none
    instant       room_at_ = instant::never(); // all of it is expected by then
    instant       hold_after_;
    instant       hold_ended_at_;   // end of the latest one without a start
    std::uint32_t holds_ended_ = 0; // ended without a start

    std::unordered_map<target_id, ticket_cell> tickets_;
    std::uint32_t asked_ = 0;              // advice requests in flight
    bool          requested_long_ = false; // with a long reply time
    instant       requested_at_;           // time of the latest request
    instant       request_after_;

    // A turn lets a stage send a request and use room before better-ranked
    // ones. It is due when the stage has waited long for a request.
    instant       turn_due_ = instant::never();
    instant       turn_until_;        // in its turn until then
    std::uint32_t turn_requests_ = 0; // requests in flight sent in a turn
};

// Number of tasks that this shard has to start.
inline std::int64_t count_waiting(stage_row const& stage)
{
    return stage.tasks_.waiting();
}

} // namespace fescuevane::plan

#endif
