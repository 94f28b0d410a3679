// Purpose: event: a caller asks for the state of a job.
#ifndef FESCUEVANE_ENTRY_LOOKUP_OPENED_HPP
#define FESCUEVANE_ENTRY_LOOKUP_OPENED_HPP

#include "core/instant.hpp"
#include "core/job_key.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::entry
{

struct lookup_opened
{
    std::uint64_t const call_ = 0;
    job_key const       job_;
    std::string const   key_;
    instant const wait_deadline_; // the state is told by then, final or not

    friend bool operator==(lookup_opened const&,
                           lookup_opened const&) = default;
};

} // namespace fescuevane::entry

#endif
