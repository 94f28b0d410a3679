// Purpose: command: answer a call with the state of a job.
#ifndef FESCUEVANE_ENTRY_JOB_TOLD_HPP
#define FESCUEVANE_ENTRY_JOB_TOLD_HPP

#include "core/job_result.hpp"

#include <cstdint>

namespace fescuevane::entry
{

struct job_told
{
    std::uint64_t const call_ = 0;
    job_result const    result_;

    friend bool operator==(job_told const&, job_told const&) = default;
};

} // namespace fescuevane::entry

#endif
