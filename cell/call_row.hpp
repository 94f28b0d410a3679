// Purpose: row of a call that has no reply yet.
#ifndef FESCUEVANE_CELL_CALL_ROW_HPP
#define FESCUEVANE_CELL_CALL_ROW_HPP

#include "cell/call_kind.hpp"
#include "cell/job_answer.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"
#include "core/staged_job.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

namespace fescuevane::cell
{

struct call_row
{
    call_kind                         kind_ = call_kind::lookup;
    job_id                            id_;
    std::shared_ptr<staged_job const> job_;
    instant                           deadline_;
    std::optional<shard_id>           shard_;       // called now
    std::uint64_t                     request_ = 0; // in flight, 0: none
    instant                           retry_at_;
    std::set<shard_id>                tried_; // gave no usable reply
    bool       may_have_succeeded_ = false;   // an attempt got no reply
    bool       located_ = false;              // shard was read from the store
    bool       withdrawing_ = false;          // `cancel_absent` was sent
    job_answer refusal_;                      // latest one
    // Refusal for load. It may be sent once the job's row is known to be absent
    // from the store.
    std::optional<job_answer> overload_;
    bool                      second_asked_ = false; // after that refusal
    bool                      row_absent_ = false;
};

} // namespace fescuevane::cell

#endif
