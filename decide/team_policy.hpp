// Purpose: share and part of the upper limit of one team.
#ifndef FESCUEVANE_DECIDE_TEAM_POLICY_HPP
#define FESCUEVANE_DECIDE_TEAM_POLICY_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

#include <cstdint>
#include <optional>

namespace fescuevane::decide
{

struct team_policy
{
    team_id const                  team_;
    std::int64_t const             share_ = 1; // weight, 1 or more
    std::optional<resources> const allotment_; // of this shard; none: no limit

    friend bool operator==(team_policy const&, team_policy const&) = default;
};

} // namespace fescuevane::decide

#endif
