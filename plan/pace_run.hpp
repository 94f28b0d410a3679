// Purpose: command: limit a run to a percentage of what it could use.
#ifndef FESCUEVANE_PLAN_PACE_RUN_HPP
#define FESCUEVANE_PLAN_PACE_RUN_HPP

#include "core/ids.hpp"
#include "core/run_key.hpp"

#include <cstdint>

namespace fescuevane::plan
{

struct pace_run
{
    run_key const      run_;
    target_id const    target_;
    std::int32_t const percent_ = 100;

    friend bool operator==(pace_run const&, pace_run const&) = default;
};

} // namespace fescuevane::plan

#endif
