// Purpose: outcome of a call about a job.
#ifndef FESCUEVANE_CELL_JOB_OUTCOME_HPP
#define FESCUEVANE_CELL_JOB_OUTCOME_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class job_outcome : std::uint8_t
{
    accepted,    // submitted and stored
    known,       // found, see its phase
    canceled,    // canceled and stored
    absent,      // there is no such job
    not_owner,   // retry at the shard's current owner
    unavailable, // nothing was done, retry later
    overloaded,  // nothing was done, no capacity
    uncertain,   // it may have been carried out
    withdrawn    // canceled before it was submitted, so it never runs
};

} // namespace fescuevane::cell

#endif
