// Purpose: table of the jobs of a shard, one row a job.
#ifndef FESCUEVANE_DECIDE_JOB_TABLE_HPP
#define FESCUEVANE_DECIDE_JOB_TABLE_HPP

#include "core/column.hpp"
#include "core/instant.hpp"
#include "core/job_key.hpp"
#include "core/job_result.hpp"
#include "core/job_spec.hpp"
#include "core/row_index.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fescuevane::decide
{

struct job_table
{
    row_index<job_key>                      index_;
    column<std::shared_ptr<job_spec const>> spec_;
    column<job_result>                      result_;        // as last told
    column<std::uint32_t>                   open_tasks_;    // not ended yet
    column<instant>                         keep_deadline_; // of a final result
    column<std::size_t>                     team_;          // row of its team
    column<std::size_t>                     class_;      // row of its estimate
    column<std::vector<std::uint32_t>>      attempts_;   // latest of each task
    column<std::uint8_t>                    complete_;   // 1: payload is known
    column<std::uint8_t>                    held_;       // 1: may run unseen
    column<std::uint8_t>                    dispatched_; // 1: a start was sent
    column<std::uint8_t>                    ran_; // 1: an attempt may have run
    column<std::uint8_t>                    canceled_; // 1: withdrawn
    column<std::uint8_t>  restarting_;                 // 1: a gang starts over
    column<std::uint32_t> gang_failures_;              // of its tasks
    column<std::uint8_t>  refused_;       // 1: ends with what is in flight
    column<std::uint8_t>  moving_;        // 1: goes on at another shard
    column<std::uint8_t>  lost_;          // 1: an outcome can't be learnt
    column<std::string>   failed_;        // reason, empty: not failed
    column<target_id>     failed_on_;     // first target it failed on
    column<instant>       queued_at_;     // last entered the queue
    column<instant>       reserve_after_; // when a gang may reserve
};

// Appends a queued job; its key must have no row. Returns the row.
std::size_t append_job(job_table& table, std::shared_ptr<job_spec const> spec,
                       std::size_t team, std::size_t work_class);
void        remove_job(job_table& table, std::size_t row);

} // namespace fescuevane::decide

#endif
