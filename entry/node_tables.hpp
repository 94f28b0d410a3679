// Purpose: the context of a node and the systems that run over it. Internal to
// the package; other code includes node.hpp.
//
// Index of sections
//   1. Context
//   2. Systems, in the order of the tick
//   3. Steps that several systems share
#ifndef FESCUEVANE_ENTRY_NODE_TABLES_HPP
#define FESCUEVANE_ENTRY_NODE_TABLES_HPP

#include "core/instant.hpp"
#include "core/on_time_span.hpp"
#include "entry/answer_kind.hpp"
#include "entry/command.hpp"
#include "entry/counter.hpp"
#include "entry/driver_table.hpp"
#include "entry/event.hpp"
#include "entry/host_table.hpp"
#include "entry/open_span.hpp"
#include "entry/peer_table.hpp"
#include "entry/record_table.hpp"
#include "entry/refusal_table.hpp"
#include "entry/route_table.hpp"
#include "entry/routed_call_table.hpp"
#include "entry/session_table.hpp"
#include "entry/settings.hpp"
#include "entry/watcher.hpp"
#include "state/state.hpp"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace fescuevane::state
{
struct config;
} // namespace fescuevane::state

namespace fescuevane::entry
{

// 1. Context

struct node
{
    settings const       settings_;
    std::vector<event>   inbox_;  // posted since the last tick
    std::vector<command> outbox_; // of the current tick
    instant              now_;    // of the current tick
    on_time_span         on_time_;
    counter_values       counters_ = {};
    std::mt19937_64      random_; // span ids, choice between equal shards

    // Control state
    state::control_ptr                   control_;
    std::shared_ptr<state::config const> config_; // effective, null: none yet
    bool                                 control_dirty_ = true;
    bool                                 store_was_read_ = false;
    bool                                 stopping_ = false;
    instant                              stop_deadline_ = instant::never();

    // Calls of local callers
    routed_call_table          calls_;
    std::vector<std::uint64_t> to_route_;   // calls to send or send again
    std::uint64_t              parked_ = 0; // calls without an owner to ask
    std::unordered_map<std::uint64_t, state::ticket_progress> ticket_calls_;
    std::uint64_t next_call_ = 0; // of calls opened by the node
    std::uint64_t next_job_ = 0;  // of assigned job ids
    instant       expire_deadline_ = instant::never();

    // Other entry processes
    peer_table  peers_;
    route_table routes_;
    bool        routes_stale_ = true; // owners or reports have changed
    instant     heartbeat_deadline_;
    instant     snapshot_deadline_; // next request for the state of a peer

    // Owned shards
    driver_table           drivers_;
    session_table          sessions_;
    std::vector<target_id> to_send_; // targets with a batch to send
    instant                session_deadline_ = instant::never();
    host_table             hosts_;
    instant                hosts_read_; // 0: never
    std::uint64_t          next_attachment_ = 0;
    record_table           records_;
    instant                record_deadline_ = instant::never();
    refusal_table          refusals_;
    std::unordered_map<job_key, std::vector<watcher>> watchers_;
    std::unordered_map<job_key, shard_id>
        uncertain_jobs_; // an earlier owner may have run
    std::unordered_map<job_key, open_span>  job_spans_;
    std::unordered_map<task_key, open_span> task_spans_;
};

// 2. Systems, in the order of the tick

struct system_entry
{
    std::string_view const name_;
    void (*const run_)(node&);
};

void apply_inbox(node& context);    // events to tables
void run_control(node& context);    // control state and its commands
void follow_hosts(node& context);   // host list to sessions
void refresh_routes(node& context); // who takes the work of which shard
void route_calls(node& context);    // calls to owners
void drive_shards(node& context);   // schedulers and their commands
void keep_sessions(node& context);  // links, leases, batches to targets
void want_grants(node& context);    // targets that may get work
void expire_records(node& context); // journal entries no longer needed
void expire_calls(node& context);   // calls whose wait is over
void greet_peers(node& context);    // heartbeats

// 3. Steps that several systems share

// Calls (node_calls.cpp)
// The same work under another key and trace context.
job_spec copy_spec(job_spec const& spec, job_key const& key,
                   std::string const& traceparent);
void     open_submit(node& context, submit_opened const& input);
void     open_lookup(node& context, lookup_opened const& input);
void     open_cancel(node& context, cancel_opened const& input);
void     open_ticket(node& context, ticket_opened const& input);
void     abandon_call(node& context, std::uint64_t call);
void open_transfer(node& context, shard_id const& from, job_spec const& spec);
void take_answer(node& context, answer_passed const& answer);

// Shards owned here (node_owner.cpp)
void take_submit(node& context, watcher const& from,
                 submit_passed const& input);
void take_lookup(node& context, watcher const& from,
                 lookup_passed const& input);
void take_cancel(node& context, cancel_passed const& input);
void acquire_shard(node& context, state::shard_acquired const& input);
void release_shard(node& context, shard_id const& shard);
void take_recorded(node& context, state::job_recorded const& input);
void set_policy(node& context, std::size_t driver);
void post_to_shard(node& context, std::size_t driver, decide::event input);
void answer_watcher(node& context, watcher const& to, answer_kind kind,
                    job_result const& result, shard_id const& moved_to = {});
void end_transfer(node& context, job_result const& result, shard_id const& to);
void retry_transfer(node& context, job_key const& job);

// Targets (node_sessions.cpp)
void post_joined(node& context, std::size_t session);
void open_sessions(node& context, shard_id const& shard);
void close_sessions(node& context, shard_id const& shard);
void take_report(node& context, target_reported const& input);
void take_disconnect(node& context, target_disconnected const& input);
void send_order(node& context, target_id const& target, decide::command order);
void acknowledge_end(node& context, target_id const& target,
                     task_key const& task);

// Rows of leases (node_grants.cpp)
// Before `open_sessions`: targets with leases of former owners.
void adopt_grants(node& context, std::size_t driver,
                  state::grant_record const& found);
void take_recorded(node& context, state::grants_recorded const& input);

// Peers (node_peers.cpp)
void take_peer(node& context, peer_received const& input);
void set_peers(node& context, state::peers_changed const& input);

// Shards and ids (node_shards.cpp)
shard_id find_shard_of(node const& context, listed_host const& host);
std::vector<shard_id> order_shards(node const& context, job_key const& job);
bool is_in_service(node const& context, domain_id const& domain);

shard_report report_own_shard(node const& context, std::size_t driver);

// Traces (node_traces.cpp)
std::string make_traceparent(node& context, std::string const& parent);
void finish_span(node& context, std::string_view name, open_span const& span,
                 std::string subject);

// Counters
void count(node& context, counter which, std::uint64_t amount = 1);

} // namespace fescuevane::entry

#endif
