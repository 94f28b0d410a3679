// Purpose: reasons for which a target turns down a start.
#ifndef FESCUEVANE_PLAN_REFUSAL_HPP
#define FESCUEVANE_PLAN_REFUSAL_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class refusal : std::uint8_t
{
    room,      // doesn't fit
    outdated,  // a run as high was stopped or ended there
    late,      // arrived after its deadline
    ticket,    // missing or expired
    unhealthy, // the target takes nothing now
    invalid    // the target finds the order malformed
};

} // namespace fescuevane::plan

#endif
