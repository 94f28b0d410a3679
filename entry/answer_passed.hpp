// Purpose: message between entry processes: answer to a passed call.
#ifndef FESCUEVANE_ENTRY_ANSWER_PASSED_HPP
#define FESCUEVANE_ENTRY_ANSWER_PASSED_HPP

#include "core/job_result.hpp"
#include "core/shard_id.hpp"
#include "entry/answer_kind.hpp"

#include <cstdint>

namespace fescuevane::entry
{

struct answer_passed
{
    std::uint64_t const call_ = 0; // of the receiver
    answer_kind const   kind_ = answer_kind::state;
    shard_id const      shard_;    // that was asked
    shard_id const      moved_to_; // that took the job; empty: not known
    job_result const    result_;

    friend bool operator==(answer_passed const&,
                           answer_passed const&) = default;
};

} // namespace fescuevane::entry

#endif
