// Purpose: how far a filed ticket is in this process.
#ifndef FESCUEVANE_STATE_FILING_PHASE_HPP
#define FESCUEVANE_STATE_FILING_PHASE_HPP

#include <cstdint>

namespace fescuevane::state
{

enum class filing_phase : std::uint8_t
{
    waiting,    // not checked, or for a read of the tickets before it
    committing, // its commit is open
    committed   // waits for acceptance
};

} // namespace fescuevane::state

#endif
