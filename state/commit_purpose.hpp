// Purpose: what an open commit is for.
#ifndef FESCUEVANE_STATE_COMMIT_PURPOSE_HPP
#define FESCUEVANE_STATE_COMMIT_PURPOSE_HPP

#include <cstddef>
#include <cstdint>

namespace fescuevane::state
{

// The order is that of the strategies in `end_commit`.
enum class commit_purpose : std::uint8_t
{
    host,      // the row of this process, or of one that is gone
    claim,     // of a shard
    handover,  // of a shard
    accept,    // the accepted number
    ack,       // of a shard
    ticket,    // of a call
    grant,     // of a shard, the targets with leases
    allotment, // of a team
    journal    // of a shard
};

constexpr std::size_t commit_purpose_count = 9;

} // namespace fescuevane::state

#endif
