// Purpose: command: the targets that the row of leases names for sure.
#ifndef FESCUEVANE_STATE_GRANTS_RECORDED_HPP
#define FESCUEVANE_STATE_GRANTS_RECORDED_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"

#include <set>

namespace fescuevane::state
{

// Work may start on these targets only. Those of `shard_acquired` are named
// already.
struct grants_recorded
{
    shard_id const            shard_;
    std::set<target_id> const targets_;

    friend bool operator==(grants_recorded const&,
                           grants_recorded const&) = default;
};

} // namespace fescuevane::state

#endif
