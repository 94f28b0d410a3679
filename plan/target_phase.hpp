// Purpose: phases of a target, which decide how a planner may use it.
#ifndef FESCUEVANE_PLAN_TARGET_PHASE_HPP
#define FESCUEVANE_PLAN_TARGET_PHASE_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class target_phase : std::uint8_t
{
    attaching, // may have runs that it hasn't reported yet
    lapsed,    // not reached; has no runs left, but may report ends
    usable,    //
    draining,  // its runs go on, no new ones are started
    silent     // unresponsive; the state of its runs is unknown
};

} // namespace fescuevane::plan

#endif
