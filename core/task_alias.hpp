// Purpose: tasks of another job that a job stands for.
#ifndef FESCUEVANE_CORE_TASK_ALIAS_HPP
#define FESCUEVANE_CORE_TASK_ALIAS_HPP

#include "core/stage_key.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane
{

// A shard that has no room for some tasks of a stage hands them to another one
// as a job of its own. Targets know the tasks by their original names. Task i
// of the new job is task `indices_[i]` of `stage_`.
struct task_alias
{
    stage_key                  stage_;
    std::vector<std::uint32_t> indices_;
    std::vector<std::uint32_t> failures_;      // runs that failed before
    std::vector<std::string>   checkpoints_;   // to resume from, empty: none
    std::uint32_t              first_run_ = 0; // later runs have higher numbers
    // Part of a gang over several shards: the one run that it may have, the
    // same in all of them. 0: the tasks are no such part.
    std::uint32_t gang_run_ = 0;

    friend bool operator==(task_alias const&, task_alias const&) = default;
};

} // namespace fescuevane

#endif
