// Purpose: why a stop was sent to a task.
#ifndef FESCUEVANE_DECIDE_STOP_CAUSE_HPP
#define FESCUEVANE_DECIDE_STOP_CAUSE_HPP

#include <cstdint>

namespace fescuevane::decide
{

enum class stop_cause : std::uint8_t
{
    none,     // no stop was sent
    canceled, // its caller withdrew it, or its job has ended
    moved,    // its target or failure domain leaves
    reclaimed // its capacity is needed or above the team's allotment
};

} // namespace fescuevane::decide

#endif
