// Purpose: the context of a planner and the systems that run over it. Internal
// to the package; callers include plan.hpp.
#ifndef FESCUEVANE_PLAN_PLANNER_HPP
#define FESCUEVANE_PLAN_PLANNER_HPP

#include "core/instant.hpp"
#include "core/on_time_span.hpp"
#include "core/queue_policy.hpp"
#include "core/table.hpp"
#include "plan/arrival_rate.hpp"
#include "plan/claim_row.hpp"
#include "plan/command.hpp"
#include "plan/event.hpp"
#include "plan/image_row.hpp"
#include "plan/job_row.hpp"
#include "plan/offer_row.hpp"
#include "plan/organisation_row.hpp"
#include "plan/promise_row.hpp"
#include "plan/room_reservation.hpp"
#include "plan/run_table.hpp"
#include "plan/run_time_errors.hpp"
#include "plan/run_times.hpp"
#include "plan/settings.hpp"
#include "plan/stage_row.hpp"
#include "plan/start_forecast.hpp"
#include "plan/target_row.hpp"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fescuevane::plan
{

struct planner
{
    settings const       settings_;
    std::vector<event>   inbox_;  // posted since the last tick
    std::vector<command> outbox_; // of the current tick
    instant              now_;    // of the current tick
    std::int64_t         unix_ms_ = 0;
    on_time_span         on_time_;    // of the process
    instant wake_ = instant::never(); // time of the next tick without events

    table<queue_id, queue_policy>            queues_;
    table<organisation_id, organisation_row> organisations_;
    table<organisation_id, claim_row>        claims_; // with a limit
    table<target_id, target_row>             targets_;
    table<job_id, job_row>                   jobs_;
    table<stage_key, stage_row>              stages_; // open ones only
    table<job_id, offer_row>                 offers_; // made by other shards
    // Advice of the policy service about steps that were offered, oldest first.
    std::map<stage_key, std::unordered_map<target_id, ticket_cell>>
                                      advised_steps_;
    std::deque<stage_key>             advised_order_;
    run_table                         runs_;
    table<std::string, image_row>     images_;    // run time models
    run_times                         run_times_; // unused with the local model
    run_time_errors                   run_time_errors_;
    instant                           merge_at_; // next merge of run times
    table<job_id, promise_row>        promises_; // to callers of refused jobs
    start_forecast                    forecast_; // latest one
    table<std::int32_t, arrival_rate> arrivals_; // by priority of the queue

    // Due times of the next critical path estimates; entries of ended jobs stay
    // until they are due.
    std::set<std::pair<instant, job_id>> estimates_;
    std::set<instant> ready_at_;          // end of the pause of refused tasks
    std::set<job_id>  timed_;             // with occurrences not due yet
    bool              in_service_ = true; // of the failure domain
    std::uint32_t short_requests_ = 0; // in flight, by expected time of reply
    std::uint32_t long_requests_ = 0;
    std::uint32_t turn_requests_ = 0; // those sent in a stage's turn
    bool requests_scarce_ = false;    // limit was reached in the latest tick
    std::uint32_t          max_long_requests_ = settings_.max_long_requests_;
    std::vector<stage_key> holding_gangs_; // oldest first
    instant                gang_check_at_; // next selection of their targets
    std::vector<room_reservation>
            holds_;      // of waiting tasks, at most one a target
    instant explain_at_; // next notes on long waits
    instant watch_at_;   // next check of runs
};

// One system of the tick.
struct system_entry
{
    std::string_view const name_;
    void (*const run_)(planner&);
};

// The parts of `run_tick`, for callers that run the systems one by one.
void begin_tick(planner& context, instant now, std::int64_t unix_ms);
std::span<system_entry const> list_systems(); // in execution order
void end_tick(planner& context, std::vector<command>& output);

// Systems, in execution order
void apply_events(planner& context);      // applies the inbox to the tables
void open_stages(planner& context);       // opens due occurrences of timed jobs
void count_unconfirmed(planner& context); // runs on targets not reached
void merge_learnt(planner& context);      // run times of all shards
void estimate_critical_paths(planner& context); // remaining run time of jobs
void watch_runs(planner& context);              // stops stalled and slow runs
void pace_fillers(planner& context);            // beside latency-bound tasks
void follow_parts(planner& context);            // of gangs over several shards
void claim_limits(planner& context); // for work above the shard's share
void hold_room(planner& context);    // for long-running tasks without a ticket
void hold_gangs(planner& context);   // room for all tasks of a gang
void request_advice(planner& context); // obtains tickets in advance
void place_tasks(planner& context);    // starts waiting tasks on targets
void answer_offers(planner& context);  // offers of tasks by other shards
void explain_waits(planner& context);  // logs causes of long waits

// Requests a tick at `due` or earlier.
void wake_at(planner& context, instant due);

} // namespace fescuevane::plan

#endif
