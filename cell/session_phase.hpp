// Purpose: state of the contact of a shard's owner with a target.
#ifndef FESCUEVANE_CELL_SESSION_PHASE_HPP
#define FESCUEVANE_CELL_SESSION_PHASE_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class session_phase : std::uint8_t
{
    attaching, // not reached under this ownership yet
    attached,  //
    silent     // unresponsive
};

} // namespace fescuevane::cell

#endif
