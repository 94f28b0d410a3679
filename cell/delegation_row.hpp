// Purpose: row of a delegate: a job that runs tasks of an owned job elsewhere.
#ifndef FESCUEVANE_CELL_DELEGATION_ROW_HPP
#define FESCUEVANE_CELL_DELEGATION_ROW_HPP

#include "cell/delegation_phase.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"
#include "core/stage_key.hpp"
#include "core/staged_job.hpp"

#include <cstdint>
#include <memory>

namespace fescuevane::cell
{

struct delegation_row
{
    shard_id                          shard_;  // of the parent job
    stage_key                         stage_;  // stage of the delegated tasks
    shard_id                          target_; // shard to run them
    std::shared_ptr<staged_job const> job_;    // the delegate job
    delegation_phase                  phase_ = delegation_phase::marking;
    std::uint64_t change_ = 0; // change of the parent that sets or clears it
    std::uint64_t call_ = 0;   // in flight, 0: none
    instant       next_at_;    // of the next call
};

} // namespace fescuevane::cell

#endif
