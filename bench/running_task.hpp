// Purpose: a task on the model of targets.
#ifndef FESCUEVANE_BENCH_RUNNING_TASK_HPP
#define FESCUEVANE_BENCH_RUNNING_TASK_HPP

#include "core/core.hpp"

namespace fescuevane::bench
{

struct running_task
{
    target_id const target_;
    resources const reservation_;
    instant const   start_;
    instant const   end_;

    friend bool operator==(running_task const&, running_task const&) = default;
};

} // namespace fescuevane::bench

#endif
