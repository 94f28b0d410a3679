// Purpose: steps of handing tasks to another shard.
#ifndef FESCUEVANE_CELL_DELEGATION_PHASE_HPP
#define FESCUEVANE_CELL_DELEGATION_PHASE_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class delegation_phase : std::uint8_t
{
    marking,    // the mark is being stored with the job
    submitting, // the new job is being handed in
    running,    // the other shard has it
    canceling   // its job ended, the new one has to
};

} // namespace fescuevane::cell

#endif
