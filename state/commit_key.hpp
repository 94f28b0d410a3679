// Purpose: identifies an open commit by its subject.
#ifndef FESCUEVANE_STATE_COMMIT_KEY_HPP
#define FESCUEVANE_STATE_COMMIT_KEY_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"
#include "state/commit_purpose.hpp"

#include <compare>
#include <cstdint>
#include <functional>

namespace fescuevane::state
{

// At most one commit is open for each subject. Fields that the purpose doesn't
// need stay empty.
struct commit_key
{
    commit_purpose purpose_ = commit_purpose::host;
    shard_id       shard_;
    team_id        team_;
    host_id        host_;
    std::uint64_t  call_ = 0;

    friend auto operator<=>(commit_key const&, commit_key const&) = default;
};

} // namespace fescuevane::state

template <>
struct std::hash<fescuevane::state::commit_key>
{
    std::size_t operator()(fescuevane::state::commit_key const& key) const
    {
        std::size_t hash = static_cast<std::size_t>(key.purpose_);
        hash = hash * 31 + std::hash<fescuevane::shard_id>{}(key.shard_);
        hash = hash * 31 + std::hash<fescuevane::team_id>{}(key.team_);
        hash = hash * 31 + std::hash<fescuevane::host_id>{}(key.host_);
        return hash * 31 + key.call_;
    }
};

#endif
