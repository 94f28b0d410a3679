// Purpose: event: the targets that the row of leases of an owned shard has to
// name.
#ifndef FESCUEVANE_STATE_GRANTS_WANTED_HPP
#define FESCUEVANE_STATE_GRANTS_WANTED_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"
#include "state/granted_target.hpp"

#include <vector>

namespace fescuevane::state
{

// Replaces what was wanted before. The answer is `grants_recorded`.
struct grants_wanted
{
    shard_id const                    shard_;
    epoch const                       epoch_ = 0; // of `shard_acquired`
    std::vector<granted_target> const targets_;

    friend bool operator==(grants_wanted const&,
                           grants_wanted const&) = default;
};

} // namespace fescuevane::state

#endif
