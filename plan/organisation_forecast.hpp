// Purpose: room that the limit of an organisation leaves.
#ifndef FESCUEVANE_PLAN_ORGANISATION_FORECAST_HPP
#define FESCUEVANE_PLAN_ORGANISATION_FORECAST_HPP

#include <compare>
#include <cstdint>

namespace fescuevane::plan
{

struct organisation_forecast
{
    bool         limited_ = false;
    std::int64_t left_millis_ = 0;  // after its waiting tasks, may be negative
    double       freed_per_ms_ = 0; // 1/1000 core, by ends of its runs

    friend auto operator<=>(organisation_forecast const&,
                            organisation_forecast const&) = default;
};

} // namespace fescuevane::plan

#endif
