// Purpose: row of a shard, as the store and its owner tell.
#ifndef FESCUEVANE_CELL_SHARD_ROW_HPP
#define FESCUEVANE_CELL_SHARD_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "plan/load_summary.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::cell
{

struct shard_row
{
    // From the store
    host_id               owner_; // empty: never owned
    std::uint64_t         owner_incarnation_ = 0;
    std::string           address_;
    epoch                 epoch_ = 0;
    bool                  released_ = false; // handed over by its owner
    host_id               successor_;        // of a released shard
    std::vector<revision> revisions_;        // of its row in each part
    std::vector<epoch>    epochs_;           // the same

    // From the owner
    instant            confirmed_at_; // latest word that it owns the shard
    bool               serving_ = false;
    plan::load_summary load_;

    // Claims
    instant suspected_at_ = instant::never(); // owner silent or gone
    instant probe_after_;   // next question whether its targets can be reached
    instant reached_at_;    // latest answer to that
    instant reached_since_; // first answer after a silence
};

} // namespace fescuevane::cell

#endif
