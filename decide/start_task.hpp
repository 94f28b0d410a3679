// Purpose: command: start a task at a target.
#ifndef FESCUEVANE_DECIDE_START_TASK_HPP
#define FESCUEVANE_DECIDE_START_TASK_HPP

#include "core/ids.hpp"
#include "core/job_spec.hpp"
#include "core/resources.hpp"
#include "core/task_key.hpp"

#include <memory>

namespace fescuevane::decide
{

struct start_task
{
    task_key const                        task_;
    target_id const                       target_;
    std::shared_ptr<job_spec const> const spec_;
    resources const reservation_; // the target holds the task to this

    friend bool operator==(start_task const& a, start_task const& b)
    {
        return a.task_ == b.task_ && a.target_ == b.target_ &&
               a.reservation_ == b.reservation_;
    }
};

} // namespace fescuevane::decide

#endif
