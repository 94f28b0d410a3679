// Purpose: event: a job of an owned shard has to be written to the journal.
#ifndef FESCUEVANE_STATE_JOB_RECORD_HPP
#define FESCUEVANE_STATE_JOB_RECORD_HPP

#include "core/job_result.hpp"
#include "core/job_spec.hpp"
#include "core/shard_id.hpp"

#include <memory>

namespace fescuevane::state
{

// Specification without result: the job was accepted. Both: it has ended, and
// the row is overwritten. Result without specification: the result is no
// longer kept, and the row of the result's key is removed. One of the two is
// set. Start deadlines are stored as remaining time.
struct job_record
{
    shard_id const                          shard_;
    std::shared_ptr<job_spec const> const   spec_;   // null: remove the row
    std::shared_ptr<job_result const> const result_; // null: not ended

    friend bool operator==(job_record const& a, job_record const& b)
    {
        return a.shard_ == b.shard_ && a.spec_ == b.spec_ &&
               a.result_ == b.result_;
    }
};

} // namespace fescuevane::state

#endif
