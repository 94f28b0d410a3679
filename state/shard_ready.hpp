// Purpose: event: no earlier owner can start work on an acquired shard.
#ifndef FESCUEVANE_STATE_SHARD_READY_HPP
#define FESCUEVANE_STATE_SHARD_READY_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"

namespace fescuevane::state
{

// To be posted after `shard_acquired`, when each listed target of the shard was
// attached under the epoch or is known to run nothing. Until then the process
// acknowledges no ticket for the shard: an earlier owner that is cut off could
// still start work under the old configuration.
struct shard_ready
{
    shard_id const shard_;
    epoch const    epoch_ = 0; // of `shard_acquired`; another one is ignored

    friend bool operator==(shard_ready const&, shard_ready const&) = default;
};

} // namespace fescuevane::state

#endif
