// Purpose: row of a job of an owned shard, as stored.
#ifndef FESCUEVANE_CELL_RECORD_ROW_HPP
#define FESCUEVANE_CELL_RECORD_ROW_HPP

#include "cell/waiting_call.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/job_phase.hpp"
#include "core/shard_id.hpp"
#include "core/staged_job.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fescuevane::cell
{

struct record_row
{
    shard_id                          shard_;
    std::uint32_t                     part_ = 0;
    std::shared_ptr<staged_job const> job_;
    std::string                       spec_text_; // as stored
    job_phase     phase_ = job_phase::pending;    // set only when final
    revision      revision_ = 0;      // of the row, 0: not stored yet
    bool          stored_ = false;    // accepted, in the store
    bool          uncertain_ = false; // an unanswered write may have stored it
    bool          canceled_ = false;  // maybe not stored yet
    bool          withdrawn_ = false; // canceled before it was submitted
    std::uint64_t end_change_ = 0;    // sequence of the change that ended it
    std::uint64_t changed_ = 0;       // sequence of the latest change
    std::uint64_t written_ = 0;       // of the change in flight
    std::uint64_t saved_ = 0;         // of the latest stored change
    instant       expires_ = instant::never(); // when the ended job is removed
    std::vector<waiting_call> waiting_;
};

} // namespace fescuevane::cell

#endif
