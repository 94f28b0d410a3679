// Purpose: interface for observing ticks. The node reads no clock, so an
// observer measures durations itself.
#ifndef FESCUEVANE_CELL_TICK_OBSERVER_HPP
#define FESCUEVANE_CELL_TICK_OBSERVER_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <string_view>

namespace fescuevane::cell
{

struct hold_timing;

class tick_observer
{
public:
    // Each system starts right after the previous one has ended.
    virtual void begin_tick() = 0;
    // `visited` counts the rows of records, calls and sessions that were
    // visited.
    virtual void end_system(std::string_view name, std::uint64_t visited) = 0;
    virtual void judge_hold(hold_timing const& timing) = 0;
    virtual void lapse_lease(target_id const& target) = 0;

protected:
    tick_observer() = default;
    ~tick_observer() = default;
    tick_observer(tick_observer const&) = default;
    tick_observer& operator=(tick_observer const&) = default;
};

} // namespace fescuevane::cell

#endif
