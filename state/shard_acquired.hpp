// Purpose: command: this process owns a shard from now on.
#ifndef FESCUEVANE_STATE_SHARD_ACQUIRED_HPP
#define FESCUEVANE_STATE_SHARD_ACQUIRED_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"
#include "state/grant_record.hpp"
#include "state/job_record.hpp"

#include <vector>

namespace fescuevane::state
{

// Comes after the claim was committed and the journal of the shard was read.
struct shard_acquired
{
    shard_id const                shard_;
    epoch const                   epoch_ = 0;
    std::vector<job_record> const jobs_;   // of the journal
    grant_record const            grants_; // of former owners

    friend bool operator==(shard_acquired const&,
                           shard_acquired const&) = default;
};

} // namespace fescuevane::state

#endif
