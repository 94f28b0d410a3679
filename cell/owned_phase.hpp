// Purpose: phases of taking over a shard.
#ifndef FESCUEVANE_CELL_OWNED_PHASE_HPP
#define FESCUEVANE_CELL_OWNED_PHASE_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class owned_phase : std::uint8_t
{
    claiming, // the owner row in part 0 is being written
    fencing,  // the rows in the other parts are being written
    loading,  // its jobs are being read
    serving
};

} // namespace fescuevane::cell

#endif
