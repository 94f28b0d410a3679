// Purpose: phases of a part of a gang that runs on several shards.
#ifndef FESCUEVANE_PLAN_PART_PHASE_HPP
#define FESCUEVANE_PLAN_PART_PHASE_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class part_phase : std::uint8_t
{
    none,      // the stage is no part of a gang
    gathering, // waits for room and tickets; may not start yet
    ordered,   // starts as soon as it has both
    started,   // its only run has started, or may have under a former owner
    withdrawn  // its run is being stopped
};

} // namespace fescuevane::plan

#endif
