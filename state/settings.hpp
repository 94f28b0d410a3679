// Purpose: settings of the control state.
#ifndef FESCUEVANE_STATE_SETTINGS_HPP
#define FESCUEVANE_STATE_SETTINGS_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace fescuevane::state
{

// Intervals stand here only; tables store deadlines.
struct settings
{
    // This process
    host_id       host_;            // unique name of the entry host
    domain_id     domain_;          // failure domain it runs in
    std::string   address_;         // IP and port of its peer service
    std::uint64_t incarnation_ = 1; // new at each start, part of commit ids

    // Cell
    std::map<domain_id, std::uint32_t> shard_counts_; // of each failure domain

    // Store
    std::int64_t  read_interval_micros_ = 200'000; // of changes
    std::int64_t  retry_delay_micros_ = 100'000;   // first; doubles, jittered
    std::int64_t  retry_delay_max_micros_ = 2'000'000; // bound of the doubling
    std::uint32_t commits_a_second_ = 60;         // write budget of the process
    std::uint32_t journal_batch_rows_ = 128;      // most rows of one commit
    std::uint64_t journal_batch_bytes_ = 1 << 20; // most bytes of one commit
    std::int64_t  journal_linger_micros_ = 5'000; // waits for more rows
    std::uint32_t journal_queue_rows_ = 4'000;    // waiting; more are refused
    std::int64_t  journal_give_up_micros_ = 3'000'000; // unwritten row: refused

    // Membership
    std::int64_t suspect_after_micros_ = 1'500'000; // without a heartbeat
    std::int64_t foreign_claim_delay_micros_ =
        1'000'000;                                // other domains' hosts
    std::int64_t start_delay_micros_ = 1'000'000; // before a first claim
    std::int64_t rank_delay_micros_ =
        250'000; // between candidates of one write
    std::int64_t rebalance_micros_ = 2'000'000;     // between shards given away
    std::int64_t host_forget_micros_ = 600'000'000; // silent: row is removed

    // Tickets
    std::uint64_t ticket_keep_ = 500; // accepted ones whose rows are kept

    // Allotments
    std::int64_t  allotment_idle_micros_ = 5'000'000; // then parts go back
    std::uint32_t allotment_headroom_percent_ = 25;   // ahead of demand

    std::uint64_t seed_ = 1; // of jitter
};

} // namespace fescuevane::state

#endif
