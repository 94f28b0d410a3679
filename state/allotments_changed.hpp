// Purpose: command: the allotments of an owned shard have changed.
#ifndef FESCUEVANE_STATE_ALLOTMENTS_CHANGED_HPP
#define FESCUEVANE_STATE_ALLOTMENTS_CHANGED_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/shard_id.hpp"

#include <map>

namespace fescuevane::state
{

struct allotments_changed
{
    shard_id const                     shard_;
    std::map<team_id, resources> const teams_; // teams with an upper limit

    friend bool operator==(allotments_changed const&,
                           allotments_changed const&) = default;
};

} // namespace fescuevane::state

#endif
