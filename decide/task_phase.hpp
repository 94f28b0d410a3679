// Purpose: where an unfinished task stands.
#ifndef FESCUEVANE_DECIDE_TASK_PHASE_HPP
#define FESCUEVANE_DECIDE_TASK_PHASE_HPP

#include <cstdint>

namespace fescuevane::decide
{

enum class task_phase : std::uint8_t
{
    queued,     // waits for a placement
    dispatched, // the start was sent
    running,    // the target confirmed the start
    stopping    // a stop was sent, the end is not confirmed
};

} // namespace fescuevane::decide

#endif
