// Purpose: the context of a scheduler and the systems that run over it.
// Internal to the package; callers include decide.hpp.
#ifndef FESCUEVANE_DECIDE_SCHEDULER_HPP
#define FESCUEVANE_DECIDE_SCHEDULER_HPP

#include "core/instant.hpp"
#include "decide/command.hpp"
#include "decide/domain_state.hpp"
#include "decide/estimate_table.hpp"
#include "decide/event.hpp"
#include "decide/gang_reservation.hpp"
#include "decide/job_table.hpp"
#include "decide/reclaim_entry.hpp"
#include "decide/retry_budget.hpp"
#include "decide/settings.hpp"
#include "decide/target_table.hpp"
#include "decide/task_table.hpp"
#include "decide/team_table.hpp"
#include "decide/timer_queue.hpp"

#include <set>
#include <string_view>
#include <vector>

namespace fescuevane::decide
{

struct scheduler
{
    settings const       settings_;
    std::vector<event>   inbox_;  // posted since the last tick
    std::vector<command> outbox_; // of the current tick
    instant              now_;    // of the current tick

    job_table        jobs_;
    task_table       tasks_;
    target_table     targets_;
    team_table       teams_;
    estimate_table   estimates_;
    domain_state     domain_;
    timer_queue      timers_;
    gang_reservation reservation_;
    retry_budget     budget_;

    std::vector<reclaim_entry> reclaims_;  // lent capacity, before the stops
    std::set<job_key>          held_jobs_; // an unreached target may run them
    std::uint64_t next_sequence_ = 1;      // of queue entries and starts
    std::uint32_t queued_tasks_ = 0;       // of all teams
    instant       shares_updated_;
    bool unseen_lost_ = false;  // a target was lost before it was ever reached
    bool place_needed_ = false; // room, work or policy changed
    bool drain_needed_ = false; // a target or the domain began to leave
};

// A step of the tick. Steps run in the order of `list_systems`.
struct system_entry
{
    std::string_view const name_;
    void (*const run_)(scheduler&);
};

// Systems, in order
void apply_events(scheduler& context);      // inbox to tables
void expire_deadlines(scheduler& context);  // timers that are due
void release_held_jobs(scheduler& context); // when all targets are accounted
void update_shares(scheduler& context);     // decayed usage of teams
void reclaim_capacity(scheduler& context);  // above allotment or lent
void drain_targets(scheduler& context);     // leaving targets, domain out
void place_tasks(scheduler& context);       // queued tasks to targets

} // namespace fescuevane::decide

#endif
