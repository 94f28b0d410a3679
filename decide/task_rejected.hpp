// Purpose: event: a target confirmed that a start can't happen any more.
#ifndef FESCUEVANE_DECIDE_TASK_REJECTED_HPP
#define FESCUEVANE_DECIDE_TASK_REJECTED_HPP

#include "core/ids.hpp"
#include "core/task_key.hpp"

#include <string>

namespace fescuevane::decide
{

struct task_rejected
{
    task_key const    task_;
    target_id const   target_;
    std::string const reason_;

    friend bool operator==(task_rejected const&,
                           task_rejected const&) = default;
};

} // namespace fescuevane::decide

#endif
