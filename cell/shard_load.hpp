// Purpose: state of an owned shard in a heartbeat.
#ifndef FESCUEVANE_CELL_SHARD_LOAD_HPP
#define FESCUEVANE_CELL_SHARD_LOAD_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"
#include "plan/load_summary.hpp"

#include <cstdint>
#include <optional>

namespace fescuevane::cell
{

struct shard_load
{
    shard_id           shard_;
    epoch              epoch_ = 0;
    bool               serving_ = false; // its jobs are loaded
    plan::load_summary load_;
    // Long requests to the policy service; none: not reported, by a process of
    // an earlier version.
    std::optional<std::uint32_t> wanted_requests_;

    friend bool operator==(shard_load const&, shard_load const&) = default;
};

} // namespace fescuevane::cell

#endif
