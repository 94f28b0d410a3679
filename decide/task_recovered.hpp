// Purpose: event: a task of an earlier owner was found at a target.
#ifndef FESCUEVANE_DECIDE_TASK_RECOVERED_HPP
#define FESCUEVANE_DECIDE_TASK_RECOVERED_HPP

#include "core/ids.hpp"
#include "core/job_spec.hpp"
#include "core/task_key.hpp"

namespace fescuevane::decide
{

// Comes after `target_joined` of its target, before any placement there.
// The specification is the one the task was started with, without payload.
struct task_recovered
{
    job_spec const  spec_;
    task_key const  task_;
    target_id const target_;
    resources const reservation_;

    friend bool operator==(task_recovered const&,
                           task_recovered const&) = default;
};

} // namespace fescuevane::decide

#endif
