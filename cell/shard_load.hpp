// Purpose: state of an owned shard in a heartbeat.
#ifndef FESCUEVANE_CELL_SHARD_LOAD_HPP
#define FESCUEVANE_CELL_SHARD_LOAD_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"
#include "plan/load_summary.hpp"
#include "plan/run_time_row.hpp"

#include <cstdint>
#include <optional>
#include <vector>

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
    // Learnt by the shard, those with new samples since the previous report.
    std::vector<plan::run_time_row> run_times_;

    friend bool operator==(shard_load const&, shard_load const&) = default;
};

} // namespace fescuevane::cell

#endif
