// Purpose: answer to a call about a job.
#ifndef FESCUEVANE_CELL_JOB_OUTCOME_HPP
#define FESCUEVANE_CELL_JOB_OUTCOME_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class job_outcome : std::uint8_t
{
    accepted,    // submitted and stored
    known,       // looked up, see its phase
    canceled,    // withdrawn and stored
    absent,      // there is no such job
    not_owner,   // ask the shard's present owner
    unavailable, // nothing was done, ask again later
    overloaded,  // the same, for want of room
    uncertain    // it may have been done
};

} // namespace fescuevane::cell

#endif
