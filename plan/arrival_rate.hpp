// Purpose: rate at which work of one priority arrives.
#ifndef FESCUEVANE_PLAN_ARRIVAL_RATE_HPP
#define FESCUEVANE_PLAN_ARRIVAL_RATE_HPP

#include "core/instant.hpp"

#include <compare>

namespace fescuevane::plan
{

// Decaying mean of the work that was accepted to end on time.
struct arrival_rate
{
    double  millis_ = 0; // 1/1000 core that it keeps busy
    instant at_;         // of the latest job

    friend auto operator<=>(arrival_rate const&, arrival_rate const&) = default;
};

} // namespace fescuevane::plan

#endif
