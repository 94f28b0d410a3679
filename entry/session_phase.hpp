// Purpose: how far the link to a target is.
#ifndef FESCUEVANE_ENTRY_SESSION_PHASE_HPP
#define FESCUEVANE_ENTRY_SESSION_PHASE_HPP

#include <cstdint>

namespace fescuevane::entry
{

enum class session_phase : std::uint8_t
{
    connecting, // the link was asked for, no snapshot yet
    attached,   // the snapshot was applied
    unreached   // no link; the next attempt is due at a deadline
};

} // namespace fescuevane::entry

#endif
