// Purpose: command: this process no longer owns a shard.
#ifndef FESCUEVANE_STATE_SHARD_RELEASED_HPP
#define FESCUEVANE_STATE_SHARD_RELEASED_HPP

#include "core/shard_id.hpp"

namespace fescuevane::state
{

struct shard_released
{
    shard_id const shard_;

    friend bool operator==(shard_released const&,
                           shard_released const&) = default;
};

} // namespace fescuevane::state

#endif
