// Purpose: place of a timer in the order of deadlines.
#ifndef FESCUEVANE_DECIDE_TIMER_REFERENCE_HPP
#define FESCUEVANE_DECIDE_TIMER_REFERENCE_HPP

#include "core/instant.hpp"

#include <compare>
#include <cstdint>

namespace fescuevane::decide
{

struct timer_reference
{
    instant       due_;
    std::uint64_t sequence_ = 0; // order among timers of one instant
    std::uint32_t slot_ = 0;     // of the timer

    friend auto operator<=>(timer_reference const&,
                            timer_reference const&) = default;
};

} // namespace fescuevane::decide

#endif
