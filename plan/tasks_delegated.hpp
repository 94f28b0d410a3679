// Purpose: event: tasks of a stage are delegated to another shard.
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
    job_id const                     delegate_; // job that runs them there
    std::uint32_t const              gang_run_ =
        0; // run of all parts of a gang, 0: not a part

    friend bool operator==(tasks_delegated const&,
                           tasks_delegated const&) = default;
};

} // namespace fescuevane::plan

#endif
