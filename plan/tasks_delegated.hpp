// Purpose: event: tasks of a stage are handed to another shard.
#ifndef FESCUEVANE_PLAN_TASKS_DELEGATED_HPP
#define FESCUEVANE_PLAN_TASKS_DELEGATED_HPP

#include "core/ids.hpp"
#include "core/stage_key.hpp"

#include <cstdint>
#include <vector>

namespace fescuevane::plan
{

struct tasks_delegated
{
    stage_key const                  stage_;
    std::vector<std::uint32_t> const indices_;
    job_id const                     delegate_; // job that stands for them
    std::uint32_t const gang_run_ = 0; // of all parts of a gang, 0: no part

    friend bool operator==(tasks_delegated const&,
                           tasks_delegated const&) = default;
};

} // namespace fescuevane::plan

#endif
