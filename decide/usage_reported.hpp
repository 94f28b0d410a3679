// Purpose: event: a target measured what a task uses.
#ifndef FESCUEVANE_DECIDE_USAGE_REPORTED_HPP
#define FESCUEVANE_DECIDE_USAGE_REPORTED_HPP

#include "core/resources.hpp"
#include "core/task_key.hpp"

namespace fescuevane::decide
{

struct usage_reported
{
    task_key const  task_;
    resources const usage_; // lags by the report interval of the target

    friend bool operator==(usage_reported const&,
                           usage_reported const&) = default;
};

} // namespace fescuevane::decide

#endif
