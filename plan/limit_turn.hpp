// Purpose: whether a shard's claim to room within a limit is the first one.
#ifndef FESCUEVANE_PLAN_LIMIT_TURN_HPP
#define FESCUEVANE_PLAN_LIMIT_TURN_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

namespace fescuevane::plan
{

struct limit_turn
{
    organisation_id organisation_;
    resources       limit_;           // of the whole cell
    resources       withheld_;        // left unused for another shard's claim
    bool            granted_ = false; // other shards make room for the claim

    friend bool operator==(limit_turn const&, limit_turn const&) = default;
};

} // namespace fescuevane::plan

#endif
