// Purpose: load of a shard, for routing.
#ifndef FESCUEVANE_PLAN_LOAD_SUMMARY_HPP
#define FESCUEVANE_PLAN_LOAD_SUMMARY_HPP

#include "core/resources.hpp"
#include "plan/organisation_load.hpp"
#include "plan/queue_load.hpp"

#include <vector>

namespace fescuevane::plan
{

struct load_summary
{
    resources               capacity_;       // of usable targets
    resources               used_;           // by running tasks
    resources               queued_;         // by startable tasks
    resources               freed_a_second_; // `sum_freed`; zero: not known
    std::vector<queue_load> queues_;
    std::vector<organisation_load> organisations_; // those with a limit

    friend bool operator==(load_summary const&, load_summary const&) = default;
};

} // namespace fescuevane::plan

#endif
