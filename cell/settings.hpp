// Purpose: settings of a node.
#ifndef FESCUEVANE_CELL_SETTINGS_HPP
#define FESCUEVANE_CELL_SETTINGS_HPP

#include "core/ids.hpp"
#include "plan/settings.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::cell
{

// Intervals stand here only; tables store deadlines.
struct settings
{
    host_id                host_;
    std::string            address_; // for other hosts, IP:port
    domain_id              domain_;
    std::vector<domain_id> domains_;       // all of the cell
    double                 cpu_share_ = 1; // of a core; larger hosts own first
    std::uint64_t          incarnation_ = 0; // higher at each start

    // Store
    std::uint32_t job_parts_ = 1; // parts of the table of jobs, never changed
    std::int64_t  store_min_micros_ = 500'000;   // deadline of a call, least
    std::int64_t  store_max_micros_ = 2'500'000; // and most
    std::int64_t  store_unresponsive_micros_ =
        1'000'000; // then it counts as lost
    std::int64_t store_retry_micros_ = 150'000;
    std::int64_t unready_micros_ = 500'000; // with the store lost
    std::int64_t journal_micros_ = 35'000;  // progress is gathered so long
    // At least so long for each shard of the cell: a part of the store performs
    // 150 transactions a second, and leaves room for urgent ones.
    std::int64_t  journal_shard_micros_ = 12'000;
    std::uint32_t journal_jobs_ = 30;                // in one transaction
    std::int64_t  result_keep_micros_ = 180'000'000; // of ended jobs

    // A tick that comes later than this after it was due shows that the process
    // had no processor time. Processor quotas alone cause up to 100 ms.
    std::int64_t late_micros_ = 250'000;
    // Late spans put off the judgement of a silence by no more than this, so
    // that a process that is late again and again still notices what is gone.
    std::int64_t late_bound_micros_ = 10'000'000;

    // Heartbeats and ownership
    std::int64_t heartbeat_micros_ = 300'000;
    std::int64_t suspect_micros_ = 1'000'000;   // without word from an owner
    std::int64_t claim_step_micros_ = 300'000;  // between candidates
    std::int64_t first_claim_micros_ = 500'000; // after the start of a host
    std::int64_t foreign_claim_micros_ = 1'200'000; // later in other domains
    std::int64_t isolated_micros_ = 8'000'000; // without word from any host
    std::int64_t balance_micros_ = 1'500'000; // between looks for better owners

    // Shards of a failure domain. Half a core keeps about 60 targets attached.
    std::uint32_t targets_per_shard_ = 60;
    std::int64_t  layout_quiet_micros_ = 600'000;   // without a new target
    std::int64_t  layout_empty_micros_ = 6'000'000; // of a domain without any

    // Leases; clocks of targets may run slow by `clock_drift_`
    std::int64_t lease_ms_ = 4000;
    std::int64_t max_lease_ms_ = 10'000; // targets shorten longer ones
    std::int64_t start_valid_ms_ = 1500; // a start that comes later is useless
    std::int64_t hold_wait_ms_ = 1500;   // for an end
    std::int64_t hold_slack_micros_ = 500'000; // answer after the wait
    std::int64_t hold_retry_micros_ = 150'000;
    std::int64_t hold_unstored_micros_ = 250'000; // while ends aren't stored
    std::int64_t stop_micros_ = 3'000'000;        // then a run never came
    std::int64_t order_micros_ = 500'000;         // deadline of an order
    // A stop takes at most as long by the platform's sites.
    std::int64_t stop_taken_micros_ = 900'000;
    // Orders without an answer are carried out seconds later; pauses of targets
    // last up to 9 s in soaks.
    std::int64_t late_order_micros_ = 10'000'000;
    std::int64_t unresponsive_micros_ = 2'300'000; // without word from a target
    // Targets that left the list may still run work: those that are cut off
    // from the store leave it after three missed heartbeats.
    std::int64_t unlisted_keep_micros_ = 10'000'000;
    // For unread ends of a silent target, from the lapse of its leases: cuts
    // between a target and its owner last several seconds.
    std::int64_t unreported_wait_micros_ = 8'000'000;
    // Until a former owner has called a target that was reached: its longest
    // wait and the slack of the answer.
    std::int64_t  fence_notice_micros_ = 2'200'000;
    std::uint32_t orders_open_ = 4; // to one target
    double        clock_drift_ = 0.02;
    std::int64_t  clock_slack_ms_ = 300;

    // Questions to the policy service
    std::int64_t advice_owner_micros_ = 150'000;  // longer ones are long
    std::int64_t advice_long_micros_ = 1'000'000; // a wrong host's handicap
    std::int64_t advice_hop_micros_ = 5'000;      // to a host of the domain
    std::int64_t advice_remote_micros_ = 100'000; // to one of another domain
    // An owner's handicap for long questions when it has asked no short one for
    // the second of these times.
    std::int64_t advice_idle_micros_ = 300'000;
    std::int64_t advice_urgent_micros_ = 1'000'000;
    // Above the expected time. The service goes on with a question that nobody
    // waits for any more, so giving up early only adds load.
    std::int64_t advice_slack_micros_ = 4'000'000;

    std::int64_t transfer_micros_ = 300'000; // between looks for parts to give

    // Ticks of planners; events in between go into one tick
    std::int64_t plan_gap_micros_ = 4'000;

    // Tasks without room go to another shard
    std::int64_t overflow_micros_ = 600'000;      // they wait here first
    std::int64_t delegate_micros_ = 250'000;      // between looks
    std::int64_t delegate_poll_micros_ = 150'000; // of a job elsewhere

    // Stages that their shard can't run are offered to all others. An answer
    // takes two questions to the policy service, of up to 1.3 s each.
    std::int64_t offer_micros_ = 2'500'000;
    std::int64_t offer_slack_micros_ = 500'000;   // for the way of the answer
    std::int64_t offer_pause_micros_ = 1'000'000; // to the next round, doubles
    std::int64_t offer_pause_max_micros_ = 4'000'000;
    // A gang that was moved, and tasks that start one by one, wait so long for
    // the end of other work before they are offered: past the time in which
    // room is kept for a gang.
    std::int64_t moved_gang_micros_ = 8'000'000;

    // Gangs on several shards
    std::int64_t spread_place_micros_ = 4'000'000; // to hand the parts over
    // For room and tickets in all shards at once: other work there has to end.
    std::int64_t spread_gather_micros_ = 12'000'000;
    std::int64_t spread_await_micros_ = 2'000'000; // one call of these
    // What a part says of its tickets holds for so long.
    std::int64_t spread_ready_micros_ = 400'000;
    // A task whose gang isn't complete ends after 3 s. A part may have to ask
    // for a ticket again (0.6 s); then parts without an answer are stopped.
    std::int64_t spread_start_micros_ = 1'000'000;
    std::int64_t spread_slack_micros_ = 300'000; // for the way of the answer
    std::int64_t spread_retry_micros_ = 200'000;

    // Calls
    std::int64_t answer_margin_micros_ = 200'000; // before a caller's deadline
    std::int64_t route_retry_micros_ = 60'000;
    std::int64_t retry_after_ms_ = 1000; // told with a refusal
    double       remote_cost_ = 0.25;    // of another domain, in shard loads

    plan::settings plan_;
};

} // namespace fescuevane::cell

#endif
