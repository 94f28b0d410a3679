// Purpose: event: the configuration in force for this shard.
#ifndef FESCUEVANE_DECIDE_POLICY_SET_HPP
#define FESCUEVANE_DECIDE_POLICY_SET_HPP

#include "decide/team_policy.hpp"

#include <vector>

namespace fescuevane::decide
{

// Carries the whole state; what it does not name no longer exists.
struct policy_set
{
    std::vector<team_policy> const teams_;
    bool const                     domain_in_service_ = true;

    friend bool operator==(policy_set const&, policy_set const&) = default;
};

} // namespace fescuevane::decide

#endif
