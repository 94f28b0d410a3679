// Purpose: forecast of the starts of waiting work. Internal to the package.
#ifndef FESCUEVANE_PLAN_FORECAST_STARTS_HPP
#define FESCUEVANE_PLAN_FORECAST_STARTS_HPP

#include "core/instant.hpp"
#include "plan/start_forecast.hpp"

#include <cstdint>

namespace fescuevane
{
struct advice_policy;
struct step_spec;
} // namespace fescuevane

namespace fescuevane::plan
{

struct planner;

// True when the policy service takes long to answer a request, so that it
// counts among the long ones in flight.
bool is_long_reply(planner const& context, advice_policy const& advice);

// Processor room that `count` tasks of the step take.
std::int64_t count_millis(step_spec const& step, std::int64_t count);

start_forecast forecast_starts(planner const& context, instant now);

} // namespace fescuevane::plan

#endif
