// Purpose: the context of the control state and the systems that run over it.
// Internal to the package; callers include state.hpp.
//
// Index of sections
//   1. Context
//   2. Systems
//   3. Rows of the platform
//   4. Commits and reads
//   5. Shards, hosts and allotments
#ifndef FESCUEVANE_STATE_CONTROL_HPP
#define FESCUEVANE_STATE_CONTROL_HPP

#include "state/allotment_table.hpp"
#include "state/commit_table.hpp"
#include "state/config.hpp"
#include "state/filing_table.hpp"
#include "state/grant_table.hpp"
#include "state/journal_table.hpp"
#include "state/load_table.hpp"
#include "state/peer_table.hpp"
#include "state/row_table.hpp"
#include "state/shard_table.hpp"
#include "state/state.hpp"
#include "state/store_client.hpp"
#include "state/ticket_table.hpp"

#include <array>
#include <set>
#include <string_view>

namespace fescuevane::state
{

// 1. Context

constexpr std::size_t system_count = 10;

struct control
{
    settings const                    settings_;
    std::vector<event>                inbox_;  // posted since the last tick
    std::vector<command>              outbox_; // of the current tick
    instant                           now_;    // of the current tick
    instant                           started_;
    instant                           last_tick_; // before the current one
    std::array<instant, system_count> due_{};     // next run of each system

    // Tables
    row_table       rows_;
    shard_table     shards_;
    peer_table      peers_;
    ticket_table    tickets_;
    filing_table    filings_;
    allotment_table allotments_;
    load_table      loads_;
    grant_table     grants_;
    journal_table   journals_;
    commit_table    commits_;
    store_client    store_;

    // Configuration
    std::shared_ptr<config const> accepted_ =
        std::make_shared<config const>(config{});
    std::shared_ptr<config const> committed_ = accepted_;  // by known tickets
    std::shared_ptr<config const> restricted_ = accepted_; // by all of these
    std::shared_ptr<config const> effective_ = accepted_;
    instant foreign_contact_; // last heartbeat of another domain's host
    bool    cut_off_ = false; // and the domain's policy is to stop

    // Marks of what the systems have to look at
    bool               config_changed_ = true;
    bool               peers_changed_ = false;
    bool               shards_changed_ = true; // owners or live hosts
    bool               acks_changed_ = true;
    bool               stopping_ = false;
    instant            claims_due_;
    instant            rebalance_due_;
    instant            idle_due_ = instant::never();
    instant            accept_due_ = instant::never();
    std::set<team_id>  changed_teams_;      // their allotments
    std::set<shard_id> changed_shards_;     // their `allotments_changed`
    std::uint64_t      malformed_rows_ = 0; // skipped
};

// 2. Systems, in order. Each returns the time of its next run without events.

struct system_entry
{
    std::string_view const name_;
    instant (*const run_)(control&);
};

instant notice_pause(control& context);        // late ticks suspect nobody
instant apply_events(control& context);        // inbox to tables
instant check_peers(control& context);         // heartbeats, contact
instant advance_tickets(control& context);     // filings, configuration
instant claim_shards(control& context);        // claims, handover, loading
instant adjust_allotments(control& context);   // parts of limits
instant acknowledge_tickets(control& context); // acks and acceptance
instant record_grants(control& context);       // targets with leases
instant batch_journal(control& context);       // records to commits
instant exchange_rows(control& context);       // commits and reads

// 3. Rows of the platform

struct grant_record;
struct table_row;

// Applies a row of the prefix `control/` when it is newer than the known one.
// A malformed value is counted and changes nothing.
void merge_row(control& context, table_row const& row);
void merge_snapshot(control& context, std::string const& snapshot);

// 4. Commits and reads

bool has_commit(control const& context, commit_key const& key);

// Queues a commit; none may be open for `key`.
void open_commit(control& context, commit_key const& key,
                 std::vector<row_condition> conditions,
                 std::vector<row_write>     writes);

void open_host_commit(control& context); // row of this process

// Applies the result of a commit by the strategy of its purpose.
void end_commit(control& context, commit_ended const& result);
void note_store_failure(control& context, std::uint64_t request);

void    request_read(control& context); // of changes, soon
instant draw_backoff(control& context, std::uint32_t failures);

// A random part of `micros`, 0 excluded.
std::int64_t draw_jitter(control& context, std::int64_t micros);

// 5. Shards, hosts and allotments

// Candidates for a write that any of several processes could do, best first:
// rendezvous hashing gives each subject its own order.
std::vector<host_id> order_hosts(std::vector<host_id> hosts,
                                 std::string const&   subject);

// Rank of this process among all live hosts for `subject`, 0 is first.
std::int64_t rank_self(control const& context, std::string const& subject);

// Starts to serve a shard whose row names this process, or releases one whose
// row names another.
void follow_owner(control& context, std::size_t shard);

// Stops serving a shard at once; it is not served again under this epoch.
void release_shard(control& context, std::size_t shard,
                   std::string const& reason);
void finish_loading(control& context, shard_id const& shard,
                    rows_read const& journal);

// True when the limits of the effective configuration hold on a served shard,
// in its scheduler and in the rows.
bool holds_limits(control const& context, std::size_t shard);
void mark_limited_teams(control& context, config const& value);
void note_load(control& context, load_noted const& load);
void drop_loads(control& context, shard_id const& shard);

// Rows of leases: read with the journal, written before the first start on a
// target.
void load_grants(control& context, shard_id const& shard,
                 grant_record const& found);
void want_grants(control& context, grants_wanted const& input);
void end_grants(control& context, shard_id const& shard); // commit applied
void drop_grants(control& context, shard_id const& shard);

void queue_record(control& context, job_record const& record);
void drop_records(control& context, shard_id const& shard,
                  std::string const& reason);

} // namespace fescuevane::state

#endif
