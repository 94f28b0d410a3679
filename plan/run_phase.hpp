// Purpose: phases of a run.
#ifndef FESCUEVANE_PLAN_RUN_PHASE_HPP
#define FESCUEVANE_PLAN_RUN_PHASE_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class run_phase : std::uint8_t
{
    starting, // the start was ordered
    running,  // confirmed by the target
    stopping  // the stop was ordered
};

} // namespace fescuevane::plan

#endif
