// Purpose: tasks of a stage that found no room for some time.
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
    instant                    since_;  // all of them wait
    // No end of other work would make room here, or not soon enough for tasks
    // that last.
    bool blocked_ = false;
    // For a part of a gang, the only run that it may have.
    std::uint32_t gang_run_ = 0;

    friend bool operator==(overflow const&, overflow const&) = default;
};

} // namespace fescuevane::plan

#endif
