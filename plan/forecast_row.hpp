// Purpose: expected start of a waiting stage.
#ifndef FESCUEVANE_PLAN_FORECAST_ROW_HPP
#define FESCUEVANE_PLAN_FORECAST_ROW_HPP

#include "plan/stage_rank.hpp"

#include <compare>
#include <cstdint>

namespace fescuevane::plan
{

// Values after all waiting tasks of the stage and of those before it have
// started.
struct forecast_row
{
    stage_rank    rank_;
    double        wait_ms_ = 0;        // from the time of the forecast
    std::int64_t  free_millis_ = 0;    // processor room left at that time
    std::uint32_t short_requests_ = 0; // to the policy service, not sent yet
    std::uint32_t long_requests_ = 0;

    friend auto operator<=>(forecast_row const&, forecast_row const&) = default;
};

} // namespace fescuevane::plan

#endif
