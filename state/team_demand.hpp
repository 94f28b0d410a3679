// Purpose: what one team uses and wants of a shard.
#ifndef FESCUEVANE_STATE_TEAM_DEMAND_HPP
#define FESCUEVANE_STATE_TEAM_DEMAND_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

namespace fescuevane::state
{

struct team_demand
{
    team_id const   team_;
    resources const used_;    // charged against the allotment
    resources const waiting_; // demand of queued tasks

    friend bool operator==(team_demand const&, team_demand const&) = default;
};

} // namespace fescuevane::state

#endif
