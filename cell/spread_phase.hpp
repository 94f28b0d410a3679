// Purpose: phases of running a gang on several shards.
#ifndef FESCUEVANE_CELL_SPREAD_PHASE_HPP
#define FESCUEVANE_CELL_SPREAD_PHASE_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class spread_phase : std::uint8_t
{
    placing,    // delegating its parts
    gathering,  // parts gather room and tickets
    starting,   // all have both, starting them
    running,    // all have started
    withdrawing // withdrawing the remaining parts
};

} // namespace fescuevane::cell

#endif
