// Purpose: what a caller gets back.
#ifndef FESCUEVANE_CORE_JOB_RESULT_HPP
#define FESCUEVANE_CORE_JOB_RESULT_HPP

#include "core/ids.hpp"
#include "core/job_key.hpp"
#include "core/job_spec.hpp"
#include "core/work_kind.hpp"

#include <cstdint>
#include <string>

namespace fescuevane
{

// State of a job as told to its caller. Final when `is_final(state_)`.
struct job_result
{
    job_key const       key_;
    job_state const     state_ = job_state::queued;
    outcome const       outcome_ = outcome::succeeded; // when answered
    std::uint32_t const attempt_ = 0;                  // that gave the answer
    shared_bytes const  body_;                         // answer; null: empty
    std::string const   reason_;                 // when not run or unknown
    std::int64_t const  retry_after_micros_ = 0; // when not run; 0: don't
    target_id const     target_;                 // that ran it last
    host_id const       owner_;                  // entry host that decided

    friend bool operator==(job_result const& a, job_result const& b);
};

} // namespace fescuevane

#endif
