// Purpose: reasons for which a target refuses a start.
#ifndef FESCUEVANE_PLAN_REFUSAL_HPP
#define FESCUEVANE_PLAN_REFUSAL_HPP

#include <cstdint>

namespace fescuevane::plan
{

enum class refusal : std::uint8_t
{
    room,      // not enough free capacity
    outdated,  // this or a higher run was stopped or ended there
    late,      // arrived after its deadline
    ticket,    // missing or expired
    unhealthy, // the target accepts no runs now
    invalid    // the target found the order malformed
};

} // namespace fescuevane::plan

#endif
