// Purpose: row of a shard, as stored and as its owner reports.
#ifndef FESCUEVANE_CELL_SHARD_ROW_HPP
#define FESCUEVANE_CELL_SHARD_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "plan/load_summary.hpp"

#include <cstdint>
#include <optional>
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
    bool                  released_ = false;   // handed over by its owner
    bool                  exclusive_ = false;  // see owner_record
    bool                  stops_over_ = false; // see owner_record
    host_id               successor_;          // of a released shard
    std::vector<revision> revisions_;          // of its row in each part
    std::vector<epoch>    epochs_;             // in the row of each part

    // From the owner
    instant            confirmed_at_; // latest confirmation of ownership
    bool               serving_ = false;
    plan::load_summary load_;
    std::optional<std::uint32_t> wanted_requests_; // see shard_load

    // Claims
    instant suspected_at_ = instant::never(); // owner unresponsive or lost
    instant probe_after_;                     // next probe of its targets
    instant reached_at_;                      // latest reply to a probe
    instant reached_since_;                   // first reply after a gap
};

} // namespace fescuevane::cell

#endif
