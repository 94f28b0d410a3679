// Purpose: event: what the teams use and want of an owned shard.
#ifndef FESCUEVANE_STATE_LOAD_NOTED_HPP
#define FESCUEVANE_STATE_LOAD_NOTED_HPP

#include "core/resources.hpp"
#include "core/shard_id.hpp"
#include "state/team_demand.hpp"

#include <vector>

namespace fescuevane::state
{

// Posted on changes and after each `allotments_changed`, once the scheduler of
// the shard has applied it: parts of a limit are given back only when the
// usage noted after a reduction is within it.
struct load_noted
{
    shard_id const                 shard_;
    std::vector<team_demand> const teams_; // teams without load are left out

    friend bool operator==(load_noted const&, load_noted const&) = default;
};

} // namespace fescuevane::state

#endif
