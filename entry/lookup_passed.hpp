// Purpose: message between entry processes: asks for a job's state.
#ifndef FESCUEVANE_ENTRY_LOOKUP_PASSED_HPP
#define FESCUEVANE_ENTRY_LOOKUP_PASSED_HPP

#include "core/job_key.hpp"
#include "core/shard_id.hpp"

#include <cstdint>

namespace fescuevane::entry
{

// The owner answers at once and again with the final state.
struct lookup_passed
{
    std::uint64_t const call_ = 0;
    shard_id const      shard_;
    job_key const       job_;

    friend bool operator==(lookup_passed const&,
                           lookup_passed const&) = default;
};

} // namespace fescuevane::entry

#endif
