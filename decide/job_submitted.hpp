// Purpose: event: a job was accepted at the entry.
#ifndef FESCUEVANE_DECIDE_JOB_SUBMITTED_HPP
#define FESCUEVANE_DECIDE_JOB_SUBMITTED_HPP

#include "core/job_spec.hpp"

namespace fescuevane::decide
{

// A job that is known already is not submitted twice: its state is reported
// again, or a refusal when the content differs.
struct job_submitted
{
    job_spec const spec_;
    bool const     may_run_ = false; // asked again after a change of owner: an
                                     // unreached target may run it already
    bool const recorded_ = false;    // stands in the journal already

    friend bool operator==(job_submitted const&,
                           job_submitted const&) = default;
};

} // namespace fescuevane::decide

#endif
