// Purpose: identifies a team on a shard.
#ifndef FESCUEVANE_STATE_SHARD_TEAM_HPP
#define FESCUEVANE_STATE_SHARD_TEAM_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"

#include <compare>
#include <functional>

namespace fescuevane::state
{

struct shard_team
{
    shard_id shard_;
    team_id  team_;

    friend auto operator<=>(shard_team const&, shard_team const&) = default;
};

} // namespace fescuevane::state

template <>
struct std::hash<fescuevane::state::shard_team>
{
    std::size_t operator()(fescuevane::state::shard_team const& key) const
    {
        return std::hash<fescuevane::shard_id>{}(key.shard_) * 31 +
               std::hash<fescuevane::team_id>{}(key.team_);
    }
};

#endif
