// Purpose: allotment and use of one team in an owned shard.
#ifndef FESCUEVANE_ENTRY_LIMIT_STATUS_HPP
#define FESCUEVANE_ENTRY_LIMIT_STATUS_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/shard_id.hpp"

#include <optional>

namespace fescuevane::entry
{

struct limit_status
{
    team_id const                  team_;
    shard_id const                 shard_;
    std::optional<resources> const allotment_; // none: no limit
    resources const                used_;

    friend bool operator==(limit_status const&, limit_status const&) = default;
};

} // namespace fescuevane::entry

#endif
