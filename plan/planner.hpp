// Purpose: the context of a planner and the systems that run over it. Internal
// to the package; callers include plan.hpp.
#ifndef FESCUEVANE_PLAN_PLANNER_HPP
#define FESCUEVANE_PLAN_PLANNER_HPP

#include "core/instant.hpp"
#include "core/on_time_span.hpp"
#include "core/queue_policy.hpp"
#include "core/table.hpp"
#include "plan/claim_row.hpp"
#include "plan/command.hpp"
#include "plan/event.hpp"
#include "plan/image_row.hpp"
#include "plan/job_row.hpp"
#include "plan/offer_row.hpp"
#include "plan/organisation_row.hpp"
#include "plan/room_reservation.hpp"
#include "plan/run_table.hpp"
#include "plan/settings.hpp"
#include "plan/stage_row.hpp"
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
    on_time_span         on_time_;                 // of the process
    instant              wake_ = instant::never(); // earliest timed action

    table<queue_id, queue_policy>            queues_;
    table<organisation_id, organisation_row> organisations_;
    table<organisation_id, claim_row>        claims_; // with a limit
    table<target_id, target_row>             targets_;
    table<job_id, job_row>                   jobs_;
    table<stage_key, stage_row>              stages_; // open ones only
    table<job_id, offer_row>                 offers_; // of other shards
    // What the policy service has told of steps that were offered, oldest
    // first.
    std::map<stage_key, std::unordered_map<target_id, ticket_cell>>
                                  known_steps_;
    std::deque<stage_key>         known_order_;
    run_table                     runs_;
    table<std::string, image_row> images_; // learnt run times

    // Next estimates of the chains of jobs; of ended jobs until they are due.
    std::set<std::pair<instant, job_id>> estimates_;
    std::set<instant>                    ready_at_; // of refused tasks
    std::set<job_id> timed_;             // with occurrences that aren't due yet
    bool             in_service_ = true; // of the failure domain
    std::uint32_t    short_questions_ = 0; // in flight, by the time of answers
    std::uint32_t    long_questions_ = 0;
    std::vector<stage_key> holding_gangs_; // oldest first
    instant                gang_look_at_;  // next choice of their places
    std::vector<room_reservation>
            holds_;      // of tasks that wait, at most one a target
    instant explain_at_; // next notes about long waits
    instant watch_at_;   // next look at runs
};

// A step of the tick.
struct system_entry
{
    std::string_view const name_;
    void (*const run_)(planner&);
};

// The parts of `run_tick`, for callers that look at the systems one by one.
void begin_tick(planner& context, instant now, std::int64_t unix_ms);
std::span<system_entry const> list_systems(); // in the order of the runs
void end_tick(planner& context, std::vector<command>& output);

// Systems, in order
void apply_events(planner& context);    // inbox to tables
void open_stages(planner& context);     // whose predecessors ended, or are due
void count_unseen(planner& context);    // what targets not reached may run
void estimate_chains(planner& context); // run times of what is left of jobs
void watch_runs(planner& context);      // stalled runs, slow runs
void pace_fillers(planner& context);    // beside tasks with a latency bound
void follow_parts(planner& context);    // of gangs over several shards
void claim_limits(planner& context);    // room for work above the shard's part
void hold_room(planner& context);       // for lasting tasks without a ticket
void hold_gangs(planner& context);      // room of all tasks of a gang
void request_advice(planner& context);  // tickets ahead of need
void place_tasks(planner& context);     // waiting tasks to targets
void answer_offers(planner& context);   // of tasks of other shards
void explain_waits(planner& context);   // what tasks that wait long wait for

// Makes the next tick happen at `due` at the latest.
void wake_at(planner& context, instant due);

} // namespace fescuevane::plan

#endif
