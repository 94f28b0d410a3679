// Purpose: table of the journaled jobs of owned shards, one row a job.
#ifndef FESCUEVANE_ENTRY_RECORD_TABLE_HPP
#define FESCUEVANE_ENTRY_RECORD_TABLE_HPP

#include "core/column.hpp"
#include "core/instant.hpp"
#include "core/job_key.hpp"
#include "core/job_result.hpp"
#include "core/job_spec.hpp"
#include "core/row_index.hpp"
#include "core/shard_id.hpp"
#include "core/task_key.hpp"
#include "entry/record_phase.hpp"

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace fescuevane::entry
{

struct record_table
{
    row_index<job_key>                      index_;
    column<shard_id>                        shard_;
    column<std::shared_ptr<job_spec const>> spec_;
    column<record_phase>                    phase_;
    column<shard_id>     moved_to_; // that took the job; empty: not known
    column<std::uint8_t> canceled_; // while being written
    column<std::shared_ptr<job_result const>> result_; // final, null before
    column<instant>                           keep_deadline_; // of a closed row
    // Ends that a target keeps until the final state is recorded.
    column<std::vector<std::pair<target_id, task_key>>> ends_;
};

// Appends a row that is being written; its key must have no row.
std::size_t append_record(record_table& table, shard_id const& shard,
                          std::shared_ptr<job_spec const> spec);
void        remove_record(record_table& table, std::size_t row);

} // namespace fescuevane::entry

#endif
