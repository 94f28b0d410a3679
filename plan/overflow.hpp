// Purpose: tasks of a stage that have waited for capacity for some time.
#ifndef FESCUEVANE_PLAN_OVERFLOW_HPP
#define FESCUEVANE_PLAN_OVERFLOW_HPP

#include "core/instant.hpp"
#include "core/resources.hpp"
#include "core/stage_key.hpp"

#include <cstdint>
#include <vector>

namespace fescuevane::plan
{

struct overflow
{
    stage_key                  stage_;
    std::vector<std::uint32_t> indices_;
    resources                  demand_; // of one task
    instant                    since_;  // since when all of them wait
    // The shard can't run them even once other work ends, or not soon enough
    // for long-running tasks.
    bool blocked_ = false;
    // Number of the only run that a part of a gang may have; 0: no part.
    std::uint32_t gang_run_ = 0;

    friend bool operator==(overflow const&, overflow const&) = default;
};

} // namespace fescuevane::plan

#endif
