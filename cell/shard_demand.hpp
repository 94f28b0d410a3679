// Purpose: demand on a shard, as a host that routes jobs knows it.
#ifndef FESCUEVANE_CELL_SHARD_DEMAND_HPP
#define FESCUEVANE_CELL_SHARD_DEMAND_HPP

#include "core/resources.hpp"

namespace fescuevane::cell
{

// From the owner's latest heartbeat, but for `sent_`.
struct shard_demand
{
    resources const capacity_; // of usable targets
    resources const wanted_;   // by running and startable tasks
    resources const sent_;     // by jobs that this host has sent there since
    resources const freed_;    // in a second, by running tasks that end

    friend bool operator==(shard_demand const&, shard_demand const&) = default;
};

} // namespace fescuevane::cell

#endif
