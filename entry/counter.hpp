// Purpose: counters of an entry process.
#ifndef FESCUEVANE_ENTRY_COUNTER_HPP
#define FESCUEVANE_ENTRY_COUNTER_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace fescuevane::entry
{

enum class counter : std::uint8_t
{
    calls_opened,     // submissions by callers
    calls_answered,   // with a final state "answered"
    calls_not_run,    // refused as not run
    calls_unknown,    // outcome unknown
    calls_rejected,   // turned away before any shard was asked
    hops_sent,        // calls passed to another entry process
    hops_received,    // calls taken from another entry process
    tasks_started,    // start commands sent to targets
    tasks_ended,      // ends reported by targets
    tasks_rejected,   // starts that targets turned down
    batches_fenced,   // batches turned down for their epoch
    shards_acquired,  //
    shards_released,  //
    store_reads,      // reads sent to the platform
    store_commits,    // commits sent to the platform
    store_failures,   // reads and commits without a reply
    tickets_accepted, // seen to be accepted
    ticks             // of the node, the last one
};

constexpr std::size_t counter_count =
    static_cast<std::size_t>(counter::ticks) + 1;

using counter_values = std::array<std::uint64_t, counter_count>;

} // namespace fescuevane::entry

#endif
