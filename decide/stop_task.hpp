// Purpose: command: end a task at a target.
#ifndef FESCUEVANE_DECIDE_STOP_TASK_HPP
#define FESCUEVANE_DECIDE_STOP_TASK_HPP

#include "core/ids.hpp"
#include "core/task_key.hpp"

namespace fescuevane::decide
{

struct stop_task
{
    task_key const  task_;
    target_id const target_;
    bool const      checkpoint_ = false; // keep progress for the next attempt

    friend bool operator==(stop_task const&, stop_task const&) = default;
};

} // namespace fescuevane::decide

#endif
