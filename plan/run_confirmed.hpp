// Purpose: event: a target has started a run.
#ifndef FESCUEVANE_PLAN_RUN_CONFIRMED_HPP
#define FESCUEVANE_PLAN_RUN_CONFIRMED_HPP

#include "core/ids.hpp"
#include "core/run_key.hpp"

namespace fescuevane::plan
{

struct run_confirmed
{
    run_key const   run_;
    target_id const target_;

    friend bool operator==(run_confirmed const&,
                           run_confirmed const&) = default;
};

} // namespace fescuevane::plan

#endif
