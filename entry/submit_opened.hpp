// Purpose: event: a caller submitted a job.
#ifndef FESCUEVANE_ENTRY_SUBMIT_OPENED_HPP
#define FESCUEVANE_ENTRY_SUBMIT_OPENED_HPP

#include "core/instant.hpp"
#include "core/job_spec.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::entry
{

// The job id is empty when the caller gave none; the node then assigns one.
struct submit_opened
{
    std::uint64_t const call_ = 0; // unique in this process
    job_spec const      spec_;
    std::string const   key_;     // empty: none came with the call
    instant const wait_deadline_; // the state is told by then, final or not

    friend bool operator==(submit_opened const&,
                           submit_opened const&) = default;
};

} // namespace fescuevane::entry

#endif
