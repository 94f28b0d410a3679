// Purpose: command: bound the processor time of a task.
#ifndef FESCUEVANE_DECIDE_THROTTLE_TASK_HPP
#define FESCUEVANE_DECIDE_THROTTLE_TASK_HPP

#include "core/ids.hpp"
#include "core/task_key.hpp"

#include <cstdint>

namespace fescuevane::decide
{

struct throttle_task
{
    task_key const     task_;
    target_id const    target_;
    std::int64_t const cpu_millis_ = 0; // 1/1000 core

    friend bool operator==(throttle_task const&,
                           throttle_task const&) = default;
};

} // namespace fescuevane::decide

#endif
