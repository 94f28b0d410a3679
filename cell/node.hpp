// Purpose: the tables of a node and the systems that run over them. Internal to
// the package; callers include cell.hpp.
#ifndef FESCUEVANE_CELL_NODE_HPP
#define FESCUEVANE_CELL_NODE_HPP

#include "cell/active_limit_claim.hpp"
#include "cell/advice_proxy_row.hpp"
#include "cell/advice_request_row.hpp"
#include "cell/allotment_row.hpp"
#include "cell/call_row.hpp"
#include "cell/cell_config.hpp"
#include "cell/command.hpp"
#include "cell/deferred_call.hpp"
#include "cell/delegation_row.hpp"
#include "cell/due_queue.hpp"
#include "cell/event.hpp"
#include "cell/gang_spread_row.hpp"
#include "cell/heard_run_times_row.hpp"
#include "cell/held_question_row.hpp"
#include "cell/host_row.hpp"
#include "cell/job_record.hpp"
#include "cell/layout_row.hpp"
#include "cell/offer_round_row.hpp"
#include "cell/offered_row.hpp"
#include "cell/order_row.hpp"
#include "cell/owned_row.hpp"
#include "cell/part_call_row.hpp"
#include "cell/part_request.hpp"
#include "cell/record_row.hpp"
#include "cell/request_row.hpp"
#include "cell/sent_work.hpp"
#include "cell/session_row.hpp"
#include "cell/settings.hpp"
#include "cell/shard_row.hpp"
#include "core/on_time_span.hpp"
#include "core/table.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace fescuevane::cell
{

class tick_observer;
struct gang_share;

struct node
{
    settings             settings_;
    std::vector<event>   inbox_;  // posted since the last tick
    std::vector<command> outbox_; // of the current tick
    instant              now_;    // of the current tick
    std::int64_t         unix_ms_ = 0;
    instant              started_;
    instant              wake_ = instant::never();
    on_time_span         on_time_;
    std::uint64_t        last_request_ = 0;
    tick_observer*       observer_ = nullptr; // of the current tick
    std::uint64_t        visited_ = 0;        // rows, by the current system

    std::shared_ptr<cell_config const> config_; // null: none received yet
    std::set<domain_id>                out_;    // withdrawn by operators
    // Of a later version than `config_`, as other hosts report.
    std::uint64_t                        reported_version_ = 0;
    std::map<organisation_id, resources> reported_limits_;
    std::map<organisation_id, resources> limits_; // in force here
    std::set<domain_id> unknown_domains_; // named in rows of targets, logged

    table<host_id, host_row>          hosts_;
    table<domain_id, layout_row>      layouts_; // one for each domain
    table<shard_id, shard_row>        shards_; // of domains with a known layout
    table<shard_id, owned_row>        owned_;
    table<target_id, session_row>     sessions_;
    table<job_id, record_row>         records_;
    due_queue<job_id>                 waits_due_; // records with waiting calls
    due_queue<job_id>                 records_due_; // expiry of records
    table<std::uint64_t, call_row>    calls_;
    due_queue<std::uint64_t>          calls_due_; // retries and deadlines
    table<std::uint64_t, request_row> requests_;  // to the store
    table<std::uint64_t, order_row>   orders_;    // to targets
    table<std::uint64_t, advice_request_row>
        questions_; // to the policy service
    table<std::uint64_t, held_question_row>
            held_questions_; // that this host sends, with the pool only
    instant long_sent_at_;   // the latest long one of them
    std::map<std::uint64_t, std::uint64_t>
                               passed_; // forwarded: request to call
    std::vector<deferred_call> parked_;
    std::vector<sent_work>     sent_work_;     // not in a reported load yet
    std::map<job_id, shard_id> job_locations_; // cache of the shards of jobs
    std::deque<job_id>         job_location_order_; // oldest first
    std::map<std::uint64_t, shard_id>     probes_;  // request to shard
    table<host_id, advice_proxy_row>      askers_;
    table<shard_id, heard_run_times_row>  heard_run_times_; // from their owners
    table<organisation_id, allotment_row> allotments_; // how limits are divided
    std::map<organisation_id, active_limit_claim> turns_; // active claims
    instant choose_claims_at_; // next choice of active claims
    std::map<organisation_id, std::map<shard_id, std::int64_t>>
            excess_uses_;     // of limits beyond the shards' parts, thousandths
    instant find_excess_at_;  // next search for them
    instant advice_limit_at_; // next count of the hosts that may send requests

    table<job_id, delegation_row>   delegations_;    // of owned jobs
    std::map<std::uint64_t, job_id> delegate_calls_; // call to delegation
    std::map<stage_key, std::map<std::uint32_t, std::vector<job_id>>>
        aliases_; // original names of delegated tasks to the delegate jobs here
    instant delegate_at_; // next search for tasks without room

    table<stage_key, offer_round_row>  offer_rounds_;   // of owned shards
    std::map<std::uint64_t, stage_key> offer_requests_; // without a reply
    std::map<origin, offered_row>      offered_;        // to owned shards

    table<stage_key, gang_spread_row>     spreads_;       // of owned shards
    std::map<std::uint64_t, part_request> part_requests_; // without a reply
    std::map<origin, part_call_row>       part_calls_;    // to owned shards

    // Store
    bool          store_ok_ = true;
    instant       store_replied_at_; // latest reply
    instant       members_asked_at_; // see members_confirmed
    instant       store_lost_at_;    // when `store_ok_` became false
    std::int64_t  store_micros_ = 0; // current timeout of a call
    std::uint64_t next_change_ = 1;  // sequence of journal changes
    bool          announced_ = false;
    bool          members_known_ = false; // the list has been read
    bool    targets_known_ = false; // the list is complete and kept up to date
    bool    targets_needed_ = true; // a shard is owned or may be claimed
    instant announce_at_;

    instant heartbeat_at_;
    instant balance_at_; // next search for better owners
    bool    stopping_ = false;
    instant leave_at_ = instant::never(); // deadline of the stop
};

struct system_entry
{
    std::string_view const name_;
    void (*const run_)(node&);
};

// Systems, in order
void apply_events(node& context);     // applies the inbox to the tables
void follow_members(node& context);   // announces the host, sends heartbeats
void lay_out_domains(node& context);  // divides domains into shards
void claim_shards(node& context);     // claims shards without an owner
void load_shards(node& context);      // fences and reads claimed shards
void limit_advice(node& context);     // limits requests of planners
void find_excess_uses(node& context); // of limits beyond parts of shards
void drive_planners(node& context);   // ticks of planners and their orders
void share_run_times(node& context);  // passes on and stores run times
void offer_stages(node& context);   // offers stages that their shard can't run
void delegate_tasks(node& context); // moves tasks without room to other shards
void spread_gangs(node& context);   // places gangs on several shards
void answer_parts(node& context);   // serves parts of gangs of other shards
void ask_policy_service(node& context);   // sends the requests held here
void record_grants(node& context);        // stores which targets hold leases
void choose_active_claims(node& context); // one claim to each limit at a time
void move_allotments(node& context);      // transfers parts of limits
void keep_sessions(node& context);        // sends leases and orders to targets
void write_journal(node& context);        // writes jobs to the store
void route_calls(node& context);          // forwards calls to owners
void release_shards(node& context);       // on a stop, or to a better owner

// Shared by the systems
std::uint64_t next_request(node& context);
void          wake_at(node& context, instant due);
void          log_event(node& context, std::string event,
                        std::vector<std::pair<std::string, std::string>> fields);
instant       store_deadline(node const& context);
// The instant on this host's clock at which a job was accepted.
instant accepted_at(node const& context, staged_job const& job);
void drop_shard(node& context, shard_id const& shard, std::string const& why);
bool owns(node const& context, shard_id const& shard, owned_phase at_least);
std::uint32_t part_of(node const& context, job_id const& job);
void          record_job_location(node& context, job_id const& job,
                                  shard_id const& shard);
// Through the host that is expected to reply first.
void send_to_advice_proxy(node& context, shard_id const& shard,
                          plan::advice_request const& query);
// Holds a request until this host may send it. `call` is 0 for its own.
void hold_question(node& context, std::uint64_t call, send_question question);
// Expected time until all requests of this host are answered.
std::int64_t find_advice_backlog(node const& context);
void update_store_health(node& context, store_reply const& reply, instant sent);

// Handlers of events, one for each kind
void apply(node& context, advice_reply const& input);
void apply(node& context, call_closed const& input);
void apply(node& context, call_opened const& input);
void apply(node& context, config_changed const& input);
void apply(node& context, domain_withdrawn const& input);
void apply(node& context, heartbeat_received const& input);
void apply(node& context, hold_reply const& input);
void apply(node& context, list_complete const& input);
void apply(node& context, member_row_changed const& input);
void apply(node& context, members_confirmed const& input);
void apply(node& context, order_reply const& input);
void apply(node& context, peer_called const& input);
void apply(node& context, peer_replied const& input);
void apply(node& context, question_received const& input);
void apply(node& context, stop_requested const& input);
void apply(node& context, store_reply const& input);
void apply(node& context, target_listed const& input);
void apply(node& context, target_unlisted const& input);

// Replies of the store, one for each kind of request
void end_claim(node& context, request_row const& request,
               store_reply const& reply);
void end_load(node& context, request_row const& request,
              store_reply const& reply);
void end_journal(node& context, request_row const& request,
                 store_reply const& reply);
void end_locate(node& context, request_row const& request,
                store_reply const& reply);
void end_layout(node& context, request_row const& request,
                store_reply const& reply);
void end_load_allotments(node& context, request_row const& request,
                         store_reply const& reply);
void end_part_transfer(node& context, request_row const& request,
                       store_reply const& reply);

void end_load_grants(node& context, request_row const& request,
                     store_reply const& reply);
void end_record_grant(node& context, request_row const& request,
                      store_reply const& reply);

void end_load_run_times(node& context, request_row const& request,
                        store_reply const& reply);
void end_store_run_times(node& context, request_row const& request,
                         store_reply const& reply);

// Time without contact counts only while this process runs on time, see
// `on_time_span`.
instant count_silence_from(node const& context, instant contact);
// True when the latest contact is older than `suspect_micros_`.
bool is_unresponsive(node const& context, instant contact);

// Layouts
constexpr std::string_view layout_prefix = "layout/"; // of their keys
void          apply_layout_row(node& context, stored_row const& row);
std::uint32_t count_shards(node const& context, domain_id const& domain);
bool          has_layout(node const& context, domain_id const& domain);
// Returns nothing while the layout isn't known.
std::optional<shard_id> shard_of(node const&          context,
                                 listed_target const& target);
// Null when the cell has no such failure domain.
shard_row* ensure_shard(node& context, shard_id const& shard);

// Shards whose listed targets can't run the step: all tasks of a gang, or a
// single task otherwise.
std::set<shard_id> list_unfit_shards(node const&       context,
                                     service_id const& service,
                                     step_spec const&  step);

// Owners
std::size_t count_owned(node const& context, host_id const& host);
// Share of processor time for each shard after one more is added.
double remaining_cpu_share(double cpu_share, std::size_t owned);
// Counts the hosts of this one's group, inside or outside the domain, that
// would have a larger remaining share of processor time for one more shard.
std::int64_t  rank_host(node const& context, domain_id const& domain,
                        host_id const& except = {});
std::uint64_t write_owner_row(node& context, shard_id const& shard,
                              std::uint32_t part, request_kind kind,
                              bool released, host_id const& successor);
// True when no stop that this or an earlier owner ordered can be in progress.
bool are_stops_over(node const& context, shard_id const& shard);
// True while a release may have taken effect. The next owner relies on this one
// having stopped, so it neither renews leases nor starts work.
bool may_be_released(owned_row const& own);

// Taking over
void finish_loading(node& context, shard_id const& shard);

// Parts of limits, in thousandths
void apply_allotment_row(node& context, stored_row const& row);
void load_allotments(node& context, shard_id const& shard, owned_row& own);
std::int64_t find_part(node const& context, shard_id const& shard,
                       organisation_id const& organisation);
resources    scale_limit(resources const& limit, std::int64_t part);
// What the shard may use: its part, less what other shards use beyond theirs.
std::int64_t find_usable_part(node const& context, shard_id const& shard,
                              organisation_id const& organisation);
// The part according to the latest row.
std::int64_t stored_part(node const& context, shard_id const& shard,
                         organisation_id const& organisation);
// Converts an amount to a part of a limit, rounded up.
std::int64_t measure_part(resources const& amount, resources const& limit);
// What the shard of the active claim still lacks.
std::int64_t count_lacking(node const& context, active_limit_claim const& claim,
                           organisation_id const& organisation);
// What a shard leaves unused of its part for the active claim of another one.
resources find_withheld(node const& context, shard_id const& shard,
                        organisation_id const& organisation,
                        resources const&       limit);
// Limits in force. Null: not configured.
resources const* find_limit(node const&            context,
                            organisation_id const& organisation);
std::map<organisation_id, resources>
     list_configured_limits(node const& context);
void update_limits(node& context);
// Returns false when the report has no later version.
bool note_reported_limits(node& context, heartbeat const& beat);

// Targets with leases
void load_grants(node& context, shard_id const& shard, owned_row& own);
void adopt_granted(node& context, shard_id const& shard);
void note_grants_changed(node& context, shard_id const& shard, bool urgent);
// True when the target is stored as one with a lease, so that work may start
// there.
bool is_granted(node const& context, target_id const& target);

// Run times
void load_run_times(node& context, shard_id const& shard, owned_row& own);
// Moves the rows of the next heartbeat into it.
void attach_run_times(node& context, heartbeat& beat);
void apply_run_times(node& context, shard_load const& reported);
// True while the last write of the row before a release is missing or open.
bool awaits_run_times(node const& context, owned_row const& own);

// Sessions
void open_sessions(node& context, shard_id const& shard);
void close_sessions(node& context, shard_id const& shard);
void update_planner_target(node& context, target_id const& target);
void queue_order(node& context, shard_id const& shard,
                 plan::command const& order);

// Aliases: tasks under their original names, and under those of the delegate
// jobs of this shard
void    add_alias(node& context, staged_job const& job);
void    remove_alias(node& context, staged_job const& job);
run_key to_original(node const& context, run_key const& run);
run_key to_local(node const& context, session_row const& session,
                 run_key const& run); // as the target of the session names it

// Delegations
void restore_delegations(node& context, job_record const& record);
void drop_delegations(node& context, shard_id const& shard);
std::vector<job_id> list_delegates(node const& context, job_id const& job);
bool                end_delegate_call(node& context, std::uint64_t call,
                                      job_answer const& answer); // false: another call

// Load of a shard with `more` work added, as a share of its capacity.
double expect_load(shard_row const& shard, resources const& more);
// Other shards that accept tasks of the step now, whatever their room.
std::vector<shard_id> list_receivers(node const& context, shard_id const& from,
                                     service_id const& service,
                                     step_spec const&  step);
// Moves tasks to another shard, or a part of a gang to any shard. Returns the
// name of the delegate job.
job_id begin_delegation(node& context, shard_id const& shard, owned_row& own,
                        plan::overflow const& tasks, shard_id const& target);
// Returns the tasks of a delegate job to their original shard.
void return_tasks(node& context, job_id const& delegate);

// Offers
// True for tasks that move only to a shard which has accepted an offer.
bool needs_offer(node const& context, shard_id const& shard,
                 plan::overflow const& tasks);
void offer_stage(node& context, shard_id const& shard,
                 plan::overflow const& tasks);
bool end_offer(node& context, std::uint64_t request,
               job_answer const& answer); // false: another request
void serve_offer(node& context, origin const& from, job_call const& call);
void report_offer(node& context, shard_id const& shard,
                  plan::answer_offer const& answer);
void expire_offers(node& context);

// Gangs on several shards
void spread_gang(node& context, shard_id const& shard,
                 plan::overflow const&          tasks,
                 std::vector<gang_share> const& shares);
void restore_spread(node& context, shard_id const& shard,
                    stage_key const& stage, job_id const& part);
void drop_spreads(node& context, shard_id const& shard);
void serve_part(node& context, origin const& from, job_call const& call);
bool end_part_call(node& context, std::uint64_t request,
                   job_answer const& answer); // false: another request

// Admission
// The shard that promises the callers of a refused job when to come back: the
// same one for all hosts that know the same owners.
std::optional<shard_id> find_return_shard(node const&   context,
                                          job_id const& job);
// The refusal of a submitted job that its shard can't serve in time.
std::optional<job_answer> refuse_for_load(node& context, job_call const& call);

// Calls
void serve_call(node& context, origin const& from, job_call const& call);
void answer_origin(node& context, origin const& to, job_answer const& answer);
job_phase phase_of(node const& context, record_row const& record);
// False while the store holds the job in its phase before the end, as another
// owner would load it.
bool is_phase_stored(record_row const& record);
bool is_end_stored(node const& context, record_row const& record);
void note_end(node& context, record_row& record); // after a change of the job
void cancel_job(node& context, record_row& record);
void answer_lookups(node& context, record_row& record);
void apply_answer(node& context, std::uint64_t call, job_answer const& answer);
void open_call(node& context, std::uint64_t id, call_row call);
// True if the host is another one and could take a shard over now.
bool is_eligible_successor(node const& context, host_id const& id,
                           host_row const& host);
// Moves deadlines of calls that are later than the stop of this process.
void cap_call_deadlines(node& context);
// Sends the policies in force to the planner of a shard. `set_configuration`
// first looks up the limits of removed organisations, which change with the
// configuration and with the jobs that are loaded.
void set_policies(node& context, shard_id const& shard);
void set_configuration(node& context, shard_id const& shard);
// Longest text of a row, in bytes before its encoding for the store.
std::size_t max_row_text(node const& context);
void        mark_changed(node& context, job_id const& job, bool urgent);
void        expedite_write(node&             context,
                           record_row const& record); // for waiting callers
void        add_waiting_call(node& context, record_row& record,
                             waiting_call const& call);
void        answer_waiting(node& context, record_row& record, call_kind kind,
                           job_outcome outcome);
void        keep_result(node& context, record_row& record); // until it expires
void        remove_record(node& context, job_id const& job);
// Stores the row of a job without one as canceled. A submission that is still
// in flight then finds the row and is refused.
record_row& store_tombstone(node& context, job_id const& job,
                            shard_id const& shard);

} // namespace fescuevane::cell

#endif
