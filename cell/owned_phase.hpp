// Purpose: steps of taking over a shard.
#ifndef FESCUEVANE_CELL_OWNED_PHASE_HPP
#define FESCUEVANE_CELL_OWNED_PHASE_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class owned_phase : std::uint8_t
{
    claiming, // the first row is being written
    fencing,  // the rows of the other parts are
    loading,  // its jobs are being read
    serving   //
};

} // namespace fescuevane::cell

#endif
