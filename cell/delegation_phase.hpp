// Purpose: phases of delegating tasks to another shard.
#ifndef FESCUEVANE_CELL_DELEGATION_PHASE_HPP
#define FESCUEVANE_CELL_DELEGATION_PHASE_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class delegation_phase : std::uint8_t
{
    marking,    // storing the delegation mark with the parent job
    submitting, // submitting the delegate job
    running,    // accepted by the other shard
    canceling,  // the parent ended, canceling the delegate
    unmarking   // the delegate has ended, removing the mark from the parent job
};

} // namespace fescuevane::cell

#endif
