// Purpose: steps of running a gang on several shards.
#ifndef FESCUEVANE_CELL_SPREAD_PHASE_HPP
#define FESCUEVANE_CELL_SPREAD_PHASE_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class spread_phase : std::uint8_t
{
    placing,    // its parts are being handed over
    gathering,  // they gather room and tickets
    starting,   // all had them, and are told to start
    running,    // all have started
    withdrawing // what is left of them is taken back
};

} // namespace fescuevane::cell

#endif
