// Purpose: event: a target has seen a higher epoch of an owned shard.
#ifndef FESCUEVANE_STATE_SHARD_FENCED_HPP
#define FESCUEVANE_STATE_SHARD_FENCED_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"

namespace fescuevane::state
{

struct shard_fenced
{
    shard_id const shard_;
    epoch const    epoch_ = 0; // that the target has seen

    friend bool operator==(shard_fenced const&, shard_fenced const&) = default;
};

} // namespace fescuevane::state

#endif
