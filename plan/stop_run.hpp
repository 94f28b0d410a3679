// Purpose: command: stop a run on a target.
#ifndef FESCUEVANE_PLAN_STOP_RUN_HPP
#define FESCUEVANE_PLAN_STOP_RUN_HPP

#include "core/ids.hpp"
#include "core/run_key.hpp"

namespace fescuevane::plan
{

struct stop_run
{
    run_key const   run_;
    target_id const target_;

    friend bool operator==(stop_run const&, stop_run const&) = default;
};

} // namespace fescuevane::plan

#endif
