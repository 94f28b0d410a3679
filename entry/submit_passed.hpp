// Purpose: message between entry processes: a job for a shard's owner.
#ifndef FESCUEVANE_ENTRY_SUBMIT_PASSED_HPP
#define FESCUEVANE_ENTRY_SUBMIT_PASSED_HPP

#include "core/ids.hpp"
#include "core/job_spec.hpp"
#include "core/shard_id.hpp"

#include <cstdint>

namespace fescuevane::entry
{

struct submit_passed
{
    std::uint64_t const call_ = 0; // unique at the sender
    shard_id const      shard_;
    epoch const         epoch_ = 0; // of the ownership it is meant for
    job_spec const      spec_;
    bool const          may_be_known_ = false; // an owner may have seen the id

    friend bool operator==(submit_passed const&,
                           submit_passed const&) = default;
};

} // namespace fescuevane::entry

#endif
