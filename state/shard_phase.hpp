// Purpose: what this process does with a shard.
#ifndef FESCUEVANE_STATE_SHARD_PHASE_HPP
#define FESCUEVANE_STATE_SHARD_PHASE_HPP

#include <cstdint>

namespace fescuevane::state
{

enum class shard_phase : std::uint8_t
{
    foreign,     // another process or nobody owns it
    loading,     // the row names this process, the journal is being read
    owned,       // `shard_acquired` was emitted
    handing_over // owned, a successor is being written
};

} // namespace fescuevane::state

#endif
