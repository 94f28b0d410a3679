// Purpose: event: a target has refused a start, so the run didn't begin.
#ifndef FESCUEVANE_PLAN_RUN_REFUSED_HPP
#define FESCUEVANE_PLAN_RUN_REFUSED_HPP

#include "core/ids.hpp"
#include "core/run_key.hpp"
#include "plan/refusal.hpp"

namespace fescuevane::plan
{

struct run_refused
{
    run_key const   run_;
    target_id const target_;
    refusal const   reason_ = refusal::room;

    friend bool operator==(run_refused const&, run_refused const&) = default;
};

} // namespace fescuevane::plan

#endif
