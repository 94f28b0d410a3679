// Purpose: what a planner may do with a target.
#ifndef FESCUEVANE_PLAN_TARGET_PHASE_HPP
#define FESCUEVANE_PLAN_TARGET_PHASE_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class target_phase : std::uint8_t
{
    attaching, // may run work that wasn't reported yet
    lapsed,    // not reached; runs nothing any more, but may list ends
    usable,    //
    draining,  // runs on, takes no new work
    silent     // doesn't answer; what runs there is uncertain
};

} // namespace fescuevane::plan

#endif
