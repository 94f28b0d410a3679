// Purpose: event: all configured queues.
#ifndef FESCUEVANE_PLAN_QUEUES_SET_HPP
#define FESCUEVANE_PLAN_QUEUES_SET_HPP

#include "core/queue_policy.hpp"

#include <vector>

namespace fescuevane::plan
{

struct queues_set
{
    std::vector<queue_policy> const queues_;

    friend bool operator==(queues_set const&, queues_set const&) = default;
};

} // namespace fescuevane::plan

#endif
