// Purpose: settings of a node.
#ifndef FESCUEVANE_CELL_SETTINGS_HPP
#define FESCUEVANE_CELL_SETTINGS_HPP

#include "core/ids.hpp"
#include "plan/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::cell
{

// Intervals are defined only here; tables store deadlines.
struct settings
{
    host_id                host_;
    std::string            address_; // for other hosts, IP:port
    domain_id              domain_;
    std::vector<domain_id> domains_; // all of the cell
    double        cpu_share_ = 1;    // of a core; larger hosts claim first
    std::uint64_t incarnation_ = 0;  // higher at each start

    // Store
    std::uint32_t job_parts_ = 1; // parts of the table of jobs, immutable
    std::int64_t  store_min_micros_ = 500'000;   // minimum timeout of a call
    std::int64_t  store_max_micros_ = 2'500'000; // maximum
    std::int64_t  store_unresponsive_micros_ =
        1'000'000; // until it counts as lost
    std::int64_t store_retry_micros_ = 150'000;
    std::int64_t unready_micros_ = 500'000; // after the store was lost
    std::int64_t journal_micros_ = 35'000;  // batching delay of progress
    // Minimum batching delay for each shard of the cell: a part of the store
    // performs 150 transactions a second, some of which are left for urgent
    // writes.
    std::int64_t  journal_shard_micros_ = 12'000;
    std::uint32_t journal_jobs_ = 30; // in one transaction
    // Limits of the store, in bytes of encoded values: of a row, and of all
    // rows of a transaction with some space left for keys and conditions.
    std::size_t  row_bytes_ = 65'536;
    std::size_t  transaction_bytes_ = 900'000;
    std::int64_t result_keep_micros_ = 180'000'000; // of ended jobs
    // Rows of jobs that were canceled before they were submitted, in a shard.
    // They are kept as long as results, so cancels of 55 unknown jobs a second
    // stay below it.
    std::size_t max_withdrawn_ = 10'000;
    // Rows of jobs in one read of a takeover. A read without a reply is
    // repeated with half as many, and one that succeeds is followed by a read
    // of twice as many. With payloads of 4,000 bytes, 50 rows take about 1.2 s
    // over 2 Mbit/s, and 200 rows reach the 1 MB at which the store ends a
    // reply.
    std::uint32_t load_rows_first_ = 50;
    std::uint32_t load_rows_max_ = 200;

    // A tick that runs later than this after it was due means that the process
    // got no processor time. CPU quotas alone cause delays of up to 100 ms.
    std::int64_t late_micros_ = 250'000;
    // Late ticks extend the detection of unresponsive peers by no more than
    // this, so that a process that is late repeatedly still detects lost ones.
    std::int64_t late_bound_micros_ = 10'000'000;

    // Heartbeats and ownership
    std::int64_t heartbeat_micros_ = 300'000;
    std::int64_t suspect_micros_ = 1'000'000;   // without contact to an owner
    std::int64_t claim_step_micros_ = 300'000;  // for each rank
    std::int64_t first_claim_micros_ = 500'000; // after the start of a host
    std::int64_t foreign_claim_micros_ = 1'200'000; // added in other domains
    std::int64_t isolated_micros_ = 8'000'000; // without contact to any host
    std::int64_t balance_micros_ = 1'500'000;  // between searches
    // A stopping host without a successor releases its shards this long before
    // it leaves: three calls with the minimum timeout, for the open write, the
    // last changes and the release.
    std::int64_t release_micros_ = 1'500'000;

    // Shards of a failure domain. Half a core can keep about 60 targets
    // attached.
    std::uint32_t targets_per_shard_ = 60;
    std::int64_t  layout_quiet_micros_ = 600'000; // without a new target
    std::int64_t  layout_empty_micros_ =
        6'000'000; // of a domain without targets

    // Leases; clocks of targets may run slow by `clock_drift_`
    std::int64_t lease_ms_ = 4000;
    std::int64_t max_lease_ms_ = 10'000;       // targets shorten longer ones
    std::int64_t start_valid_ms_ = 1500;       // later starts are rejected
    std::int64_t hold_wait_ms_ = 1500;         // of a call for an end
    std::int64_t hold_slack_micros_ = 500'000; // for the reply after the wait
    std::int64_t hold_retry_micros_ = 150'000;
    std::int64_t hold_unstored_micros_ = 250'000; // while ends aren't stored
    std::int64_t stop_micros_ = 3'000'000;        // then it never started
    std::int64_t stop_end_micros_ = 8'000'000; // then an unlisted run has ended
    std::int64_t order_micros_ = 500'000;      // deadline of an order
    // According to the platform's sites a stop takes at most this long.
    std::int64_t stop_taken_micros_ = 900'000;
    // Orders without a reply may be executed up to 12 s later, according to the
    // platform's faults.
    std::int64_t late_order_micros_ = 12'000'000;
    std::int64_t unresponsive_micros_ = 2'300'000; // of targets
    // Unlisted targets may still run work: a target that is cut off from the
    // store is removed from the list after three missed heartbeats.
    std::int64_t unlisted_keep_micros_ = 10'000'000;
    // Wait for unreported ends of an unresponsive target after its leases have
    // lapsed: network partitions between a target and its owner last several
    // seconds.
    std::int64_t unreported_wait_micros_ = 8'000'000;
    // Age up to which a reply of the store or of targets proves that a shard
    // has no other owner: two rounds of the feed of members, which waits for
    // 1 s, and the time of their replies.
    std::int64_t fence_notice_micros_ = 2'200'000;
    // Wait of a hold call while only targets prove it, so that a proof is
    // renewed in time.
    std::int64_t hold_proof_wait_ms_ = 600;
    // After this time former owners count as ended even if fewer than half of
    // the targets have accepted the new epoch: partitions between a target and
    // its owner last several seconds.
    std::int64_t  unproven_owner_micros_ = 10'000'000;
    std::uint32_t orders_open_ = 4; // open ones to one target
    double        clock_drift_ = 0.02;
    std::int64_t  clock_slack_ms_ = 300;

    // Requests to the policy service
    std::int64_t advice_owner_micros_ = 150'000;  // limit of short requests
    std::int64_t advice_long_micros_ = 1'000'000; // penalty of a wrong host
    std::int64_t advice_hop_micros_ = 5'000;      // hop within the domain
    std::int64_t advice_remote_micros_ = 100'000; // to another domain
    // Penalty of an owner for long requests, if it has sent no short request
    // for `advice_urgent_micros_`.
    std::int64_t advice_idle_micros_ = 300'000;
    std::int64_t advice_urgent_micros_ = 1'000'000;
    // Short requests use the hosts that own nothing as well, and hosts hold
    // requests back while the service is busy with others of theirs.
    bool advice_pool_ = false;
    // Penalty of a host that owns nothing for short requests in the pool. About
    // the time of one short request, so that owners send them while they are
    // free.
    std::int64_t advice_pool_micros_ = 40'000;
    // A host holds a long request back for short ones up to this time, and
    // sends at most one such request in it.
    std::int64_t advice_max_hold_micros_ = 2'000'000;
    // Slack above the expected time. The service continues to process abandoned
    // requests, so an early timeout only adds load.
    std::int64_t advice_slack_micros_ = 4'000'000;

    std::int64_t transfer_micros_ = 300'000; // between searches for transfers

    // Minimum interval of planner ticks; batches the events in between
    std::int64_t plan_gap_micros_ = 4'000;

    // Delegation of tasks without room to another shard
    std::int64_t overflow_micros_ = 600'000;      // wait before delegation
    std::int64_t delegate_micros_ = 250'000;      // between searches
    std::int64_t delegate_poll_micros_ = 150'000; // polling of a delegate

    // Stages that their shard can't run are offered to all others. A reply
    // takes two requests to the policy service of up to 1.3 s each.
    std::int64_t offer_micros_ = 2'500'000;
    std::int64_t offer_slack_micros_ = 500'000;   // transit time of the reply
    std::int64_t offer_pause_micros_ = 1'000'000; // between rounds, doubles
    std::int64_t offer_pause_max_micros_ = 4'000'000;
    // Wait of a moved gang, and of tasks that start one by one, for other work
    // to end before they are offered. Longer than the time for which room is
    // reserved for a gang.
    std::int64_t moved_gang_micros_ = 8'000'000;

    // Gangs on several shards
    std::int64_t spread_place_micros_ = 4'000'000; // to place all parts
    // To get room and tickets in all shards at once: other work has to end
    // there.
    std::int64_t spread_gather_micros_ = 12'000'000;
    std::int64_t spread_await_micros_ = 2'000'000; // a single wait call
    // Validity of a part's report on its tickets.
    std::int64_t spread_ready_micros_ = 400'000;
    // Wait for the start of all parts; then parts without a reply are stopped.
    // A task whose gang is incomplete ends after 3 s, and a part may have to
    // request a ticket again (0.6 s).
    std::int64_t spread_start_micros_ = 1'000'000;
    std::int64_t spread_slack_micros_ = 300'000; // transit time of the reply
    std::int64_t spread_retry_micros_ = 200'000;

    // Calls
    std::int64_t answer_margin_micros_ = 200'000; // before a caller's deadline
    std::int64_t route_retry_micros_ = 60'000;
    std::int64_t retry_after_ms_ = 1000; // sent with a rejection
    double remote_cost_ = 0.25; // penalty of another domain, in shard loads

    // Routing by the expected wait. A job leaves its failure domain when others
    // are ahead by about `route_crossing_s_`, since messages about it and its
    // data cross domains from then on.
    bool   route_by_wait_ = false;
    double route_crossing_s_ = 0.25;
    // From sending a submission until the owner's load includes it: a hop and
    // a write to the store, with its batching delay.
    std::int64_t submit_micros_ = 120'000;

    plan::settings plan_;
};

} // namespace fescuevane::cell

#endif
