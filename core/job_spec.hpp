// Purpose: what a caller asks for.
#ifndef FESCUEVANE_CORE_JOB_SPEC_HPP
#define FESCUEVANE_CORE_JOB_SPEC_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/job_key.hpp"
#include "core/resources.hpp"
#include "core/work_kind.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace fescuevane
{

// Bodies reach several megabytes, so values share them.
using shared_bytes = std::shared_ptr<std::string const>;

// One job as accepted at the entry.
struct job_spec
{
    job_key const       key_;
    service_id const    service_; // class of work, for estimates
    work_kind const     kind_ = work_kind::request; //
    std::uint32_t const task_count_ = 1;            // 1 for requests
    resources const     demand_;                    // declared, of one task
    bool const          idempotent_ = true; // may run again after it ended
    instant const      start_deadline_ = instant::never(); // not run when later
    std::int64_t const declared_run_micros_ = 0;           // 0: not declared
    shared_bytes const payload_;                           // null: empty
    std::string const  traceparent_;                       // W3C trace context

    friend bool operator==(job_spec const& a, job_spec const& b)
    {
        return a.has_same_content(b) && a.start_deadline_ == b.start_deadline_;
    }

    // True when both ask for the same work: a repeated submission of an id has
    // to match the first one in all but deadline and trace.
    bool has_same_content(job_spec const& other) const;
};

} // namespace fescuevane

#endif
