// Purpose: summary of a shard for routing and metrics.
#ifndef FESCUEVANE_DECIDE_SHARD_LOAD_HPP
#define FESCUEVANE_DECIDE_SHARD_LOAD_HPP

#include "core/resources.hpp"

#include <cstdint>

namespace fescuevane::decide
{

struct shard_load
{
    resources const     capacity_; // of the targets that may take work
    resources const     reserved_; // by tasks on them
    std::uint64_t const queued_tasks_ = 0;
    std::uint64_t const running_tasks_ = 0;
    std::uint64_t const free_slots_ = 0;

    friend bool operator==(shard_load const&, shard_load const&) = default;
};

} // namespace fescuevane::decide

#endif
