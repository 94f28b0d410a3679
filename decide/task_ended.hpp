// Purpose: event: a task has ended at a target.
#ifndef FESCUEVANE_DECIDE_TASK_ENDED_HPP
#define FESCUEVANE_DECIDE_TASK_ENDED_HPP

#include "core/ids.hpp"
#include "core/job_spec.hpp"
#include "core/task_key.hpp"
#include "core/work_kind.hpp"

#include <string>

namespace fescuevane::decide
{

struct task_ended
{
    task_key const     task_;
    target_id const    target_;
    outcome const      outcome_ = outcome::succeeded;
    shared_bytes const body_;         // the whole answer; null: empty
    std::string const  reason_;       // when failed or canceled
    bool const checkpointed_ = false; // progress is kept for the next attempt

    friend bool operator==(task_ended const&, task_ended const&) = default;
};

} // namespace fescuevane::decide

#endif
