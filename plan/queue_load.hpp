// Purpose: number of waiting jobs of one queue at a shard.
#ifndef FESCUEVANE_PLAN_QUEUE_LOAD_HPP
#define FESCUEVANE_PLAN_QUEUE_LOAD_HPP

#include "core/ids.hpp"

#include <cstdint>

namespace fescuevane::plan
{

struct queue_load
{
    queue_id      queue_;
    std::uint32_t waiting_ = 0; // jobs of which no task has started

    friend bool operator==(queue_load const&, queue_load const&) = default;
};

} // namespace fescuevane::plan

#endif
