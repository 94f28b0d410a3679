// Purpose: message between entry processes: cancels jobs of a shard.
#ifndef FESCUEVANE_ENTRY_CANCEL_PASSED_HPP
#define FESCUEVANE_ENTRY_CANCEL_PASSED_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"

#include <vector>

namespace fescuevane::entry
{

struct cancel_passed
{
    shard_id const            shard_;
    team_id const             team_;
    std::vector<job_id> const jobs_;

    friend bool operator==(cancel_passed const&,
                           cancel_passed const&) = default;
};

} // namespace fescuevane::entry

#endif
