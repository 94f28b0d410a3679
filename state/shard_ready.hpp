// Purpose: event: an acquired shard is rebuilt and takes work.
#ifndef FESCUEVANE_STATE_SHARD_READY_HPP
#define FESCUEVANE_STATE_SHARD_READY_HPP

#include "core/shard_id.hpp"

namespace fescuevane::state
{

struct shard_ready
{
    shard_id const shard_;

    friend bool operator==(shard_ready const&, shard_ready const&) = default;
};

} // namespace fescuevane::state

#endif
