// Purpose: how far the journal entry of a job is.
#ifndef FESCUEVANE_ENTRY_RECORD_PHASE_HPP
#define FESCUEVANE_ENTRY_RECORD_PHASE_HPP

#include <cstdint>

namespace fescuevane::entry
{

enum class record_phase : std::uint8_t
{
    writing,  // the acceptance is being written; nothing was dispatched
    recorded, // accepted work stands in the journal
    closing,  // the final state is being written
    closed,   // the final state stands in the journal
    moving,   // another shard has accepted the job, which is being written
    moved     // the journal says that another shard has the job
};

} // namespace fescuevane::entry

#endif
