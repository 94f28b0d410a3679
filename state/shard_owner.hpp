// Purpose: who owns a shard.
#ifndef FESCUEVANE_STATE_SHARD_OWNER_HPP
#define FESCUEVANE_STATE_SHARD_OWNER_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"

#include <string>

namespace fescuevane::state
{

struct shard_owner
{
    shard_id const    shard_;
    host_id const     host_;      // empty: nobody yet
    std::string const address_;   // of its peer service
    epoch const       epoch_ = 0; // 0: never owned

    friend bool operator==(shard_owner const&, shard_owner const&) = default;
};

} // namespace fescuevane::state

#endif
