// Purpose: event: a target confirmed that a task runs.
#ifndef FESCUEVANE_DECIDE_TASK_STARTED_HPP
#define FESCUEVANE_DECIDE_TASK_STARTED_HPP

#include "core/ids.hpp"
#include "core/task_key.hpp"

namespace fescuevane::decide
{

struct task_started
{
    task_key const  task_;
    target_id const target_;

    friend bool operator==(task_started const&, task_started const&) = default;
};

} // namespace fescuevane::decide

#endif
