// Purpose: the context of a node and the systems that run over it. Internal to
// the package; callers include cell.hpp.
#ifndef FESCUEVANE_CELL_NODE_HPP
#define FESCUEVANE_CELL_NODE_HPP

#include "cell/advice_proxy_row.hpp"
#include "cell/advice_request_row.hpp"
#include "cell/allotment_row.hpp"
#include "cell/call_row.hpp"
#include "cell/cell_config.hpp"
#include "cell/command.hpp"
#include "cell/delegation_row.hpp"
#include "cell/due_queue.hpp"
#include "cell/event.hpp"
#include "cell/gang_spread_row.hpp"
#include "cell/host_row.hpp"
#include "cell/job_record.hpp"
#include "cell/layout_row.hpp"
#include "cell/limit_turn.hpp"
#include "cell/offer_round_row.hpp"
#include "cell/offered_row.hpp"
#include "cell/order_row.hpp"
#include "cell/owned_row.hpp"
#include "cell/parked_call.hpp"
#include "cell/part_call_row.hpp"
#include "cell/part_request.hpp"
#include "cell/record_row.hpp"
#include "cell/request_row.hpp"
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

    std::shared_ptr<cell_config const> config_; // null: none yet
    std::set<domain_id>                out_;    // taken out by operators
    std::set<domain_id> unknown_domains_; // that rows of targets name, logged

    table<host_id, host_row>       hosts_;
    table<domain_id, layout_row>   layouts_; // one for each domain
    table<shard_id, shard_row>     shards_;  // of known layouts
    table<shard_id, owned_row>     owned_;
    table<target_id, session_row>  sessions_;
    table<job_id, record_row>      records_;
    due_queue<job_id>              waits_due_;   // records with calls that wait
    due_queue<job_id>              records_due_; // records that expire
    table<std::uint64_t, call_row> calls_;
    due_queue<std::uint64_t>       calls_due_;   // retries and deadlines
    table<std::uint64_t, request_row> requests_; // to the store
    table<std::uint64_t, order_row>   orders_;   // to targets
    table<std::uint64_t, advice_request_row>
                                           questions_; // to the policy service
    std::map<std::uint64_t, std::uint64_t> passed_;    // request to call
    std::vector<parked_call>               parked_;
    std::map<job_id, shard_id>             places_;      // where jobs are
    std::deque<job_id>                     place_order_; // oldest first
    std::map<std::uint64_t, shard_id>      probes_;      // request to shard
    table<host_id, advice_proxy_row>       askers_;
    table<organisation_id, allotment_row>  allotments_; // divided limits
    std::map<organisation_id, limit_turn>  turns_;      // with a claim
    instant turns_at_; // next choice of the claims that are served

    table<job_id, delegation_row>   delegations_;    // of owned jobs
    std::map<std::uint64_t, job_id> delegate_calls_; // call to delegation
    std::map<stage_key, std::map<std::uint32_t, std::vector<job_id>>>
        aliases_; // tasks that owned jobs stand for, by their original names
    instant delegate_at_; // next look for tasks without room

    table<stage_key, offer_round_row>  offer_rounds_;   // of owned shards
    std::map<std::uint64_t, stage_key> offer_requests_; // without an answer
    std::map<origin, offered_row>      offered_;        // to owned shards

    table<stage_key, gang_spread_row>     spreads_;       // of owned shards
    std::map<std::uint64_t, part_request> part_requests_; // without an answer
    std::map<origin, part_call_row>       part_calls_;    // to owned shards

    // Store
    bool          store_ok_ = true;
    instant       store_word_;       // latest answer
    instant       store_lost_at_;    // since when `store_ok_` is false
    std::int64_t  store_micros_ = 0; // present deadline of a call
    std::uint64_t next_change_ = 1;  // sequence of journal changes
    bool          announced_ = false;
    bool          members_known_ = false; // their list was read once
    bool          targets_known_ = false; // the same, since it is needed
    bool          targets_needed_ = true; // a shard is owned or may be claimed
    instant       announce_at_;

    instant beat_at_;
    instant balance_at_; // next look for better owners
    bool    stopping_ = false;
};

struct system_entry
{
    std::string_view const name_;
    void (*const run_)(node&);
};

// Systems, in order
void apply_events(node& context);    // inbox to tables
void follow_members(node& context);  // announce, heartbeats
void lay_out_domains(node& context); // into shards
void claim_shards(node& context);    // without an owner
void load_shards(node& context);     // fence and read
void drive_planners(node& context);  // plan ticks, their orders
void offer_stages(node& context);    // stages that their shard can't run
void delegate_tasks(node& context);  // tasks without room to other shards
void spread_gangs(node& context);    // over several shards
void answer_parts(node& context);    // of gangs, here
void record_grants(node& context);   // targets with leases, to the store
void grant_turns(node& context);     // claims to limits, one after another
void move_allotments(node& context); // parts of limits to other shards
void keep_sessions(node& context);   // leases and orders to targets
void write_journal(node& context);   // jobs to the store
void route_calls(node& context);     // callers to owners
void release_shards(node& context);  // on a stop, or to a better owner

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
void note_place(node& context, job_id const& job, shard_id const& shard);
void note_store(node& context, store_reply const& reply, instant sent);

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
void apply(node& context, order_reply const& input);
void apply(node& context, peer_called const& input);
void apply(node& context, peer_replied const& input);
void apply(node& context, stop_requested const& input);
void apply(node& context, store_reply const& input);
void apply(node& context, target_listed const& input);
void apply(node& context, target_unlisted const& input);

// Replies of the store, by what was asked
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
void end_lend(node& context, request_row const& request,
              store_reply const& reply);

void end_load_grants(node& context, request_row const& request,
                     store_reply const& reply);
void end_record_grant(node& context, request_row const& request,
                      store_reply const& reply);

// Silence of others counts only while this process runs on time, see
// `on_time_span`.
instant count_silence_from(node const& context, instant word);
bool    is_silent(node const& context, instant word); // too long to be well

// Layouts
constexpr std::string_view layout_prefix = "layout/"; // of their keys
void          apply_layout_row(node& context, stored_row const& row);
std::uint32_t count_shards(node const& context, domain_id const& domain);
bool          has_layout(node const& context, domain_id const& domain);
// Nothing while the layout isn't known.
std::optional<shard_id> shard_of(node const&          context,
                                 listed_target const& target);
// Null when the cell has no such failure domain.
shard_row* ensure_shard(node& context, shard_id const& shard);

// Shards whose listed targets can't run the step: a gang as a whole, else one
// task.
std::set<shard_id> list_unfit(node const& context, service_id const& service,
                              step_spec const& step);

// Owners
std::size_t count_owned(node const& context, host_id const& host);
double      share_left(double cpu_share, std::size_t owned); // for one more
// Hosts of this one's group, within the domain or outside, that would have
// more processor time left for one more shard of the domain.
std::int64_t  rank_host(node const& context, domain_id const& domain,
                        host_id const& except = {});
std::uint64_t write_owner_row(node& context, shard_id const& shard,
                              std::uint32_t part, request_kind kind,
                              bool released, host_id const& successor);
// True while a release may have been performed. The next owner then takes this
// one for stopped, so it neither renews leases nor starts work.
bool may_be_released(owned_row const& own);

// Taking over
void finish_loading(node& context, shard_id const& shard);

// Parts of limits, in thousandths
void apply_allotment_row(node& context, stored_row const& row);
void load_allotments(node& context, shard_id const& shard, owned_row& own);
std::int64_t find_part(node const& context, shard_id const& shard,
                       organisation_id const& organisation);
resources    scale_limit(resources const& limit, std::int64_t part);
// The part that the latest row gives.
std::int64_t stored_part(node const& context, shard_id const& shard,
                         organisation_id const& organisation);
// The part of a limit that an amount takes, rounded up.
std::int64_t measure_part(resources const& amount, resources const& limit);
// What the shard that is served still lacks for its claim.
std::int64_t count_lacking(node const& context, limit_turn const& turn,
                           organisation_id const& organisation);
// What a shard leaves unused of its part for the claim of another one.
resources find_withheld(node const& context, shard_id const& shard,
                        organisation_share const& share);
// Null: not configured.
resources const* find_limit(node const&            context,
                            organisation_id const& organisation);

// Targets with leases
void load_grants(node& context, shard_id const& shard, owned_row& own);
void adopt_granted(node& context, shard_id const& shard);
void note_grants_changed(node& context, shard_id const& shard, bool urgent);
// True when the store names the target, so that work may start there.
bool is_granted(node const& context, target_id const& target);

// Sessions
void open_sessions(node& context, shard_id const& shard);
void close_sessions(node& context, shard_id const& shard);
void tell_planner(node& context, target_id const& target);
void queue_order(node& context, shard_id const& shard,
                 plan::command const& order);

// Tasks under their original names, and under those of the jobs that stand for
// them here
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

// Load of a shard with `more` work, as a share of its capacity.
double expect_load(shard_row const& shard, resources const& more);
// Other shards that take tasks of the step now, whatever their room.
std::vector<shard_id> list_receivers(node const& context, shard_id const& from,
                                     service_id const& service,
                                     step_spec const&  step);
// Hands tasks over to another shard, or a part of a gang to any. Returns the
// name of the job that stands for them.
job_id begin_delegation(node& context, shard_id const& shard, owned_row& own,
                        plan::overflow const& tasks, shard_id const& target);
// Hands the tasks of a job that stands for them back.
void return_tasks(node& context, job_id const& delegate);

// Offers
// True for tasks that move only to a shard which has answered.
bool needs_offer(node const& context, shard_id const& shard,
                 plan::overflow const& tasks);
void offer_stage(node& context, shard_id const& shard,
                 plan::overflow const& tasks);
bool end_offer(node& context, std::uint64_t request,
               job_answer const& answer); // false: another request
void serve_offer(node& context, origin const& from, job_call const& call);
void tell_offer(node& context, shard_id const& shard,
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

// Calls
void serve_call(node& context, origin const& from, job_call const& call);
void answer_origin(node& context, origin const& to, job_answer const& answer);
job_phase phase_of(node const& context, record_row const& record);
// False while another owner would find the job as it was before its end.
bool is_phase_stored(record_row const& record);
bool is_end_stored(node const& context, record_row const& record);
void note_end(node& context, record_row& record); // after a change of the job
void cancel_job(node& context, record_row& record);
void answer_lookups(node& context, record_row& record);
void apply_answer(node& context, std::uint64_t call, job_answer const& answer);
void open_call(node& context, std::uint64_t id, call_row call);
void set_policies(node& context, shard_id const& shard);
void mark_changed(node& context, job_id const& job, bool urgent);
void hurry_write(node& context, record_row const& record); // callers wait
void add_waiting_call(node& context, record_row& record,
                      waiting_call const& call);
void keep_result(node& context, record_row& record); // until it expires

} // namespace fescuevane::cell

#endif
