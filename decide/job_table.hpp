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
#include <memory>

namespace fescuevane::decide
{

struct job_table
{
    row_index<job_key>                      index_;
    column<std::shared_ptr<job_spec const>> spec_;
    column<job_result>                      result_;        // as last told
    column<std::uint32_t>                   open_tasks_;    // not ended yet
    column<instant>                         keep_deadline_; // of a final result
};

// Appends a queued job; its key must have no row. Returns the row.
std::size_t append_job(job_table& table, std::shared_ptr<job_spec const> spec);
void        remove_job(job_table& table, std::size_t row);

} // namespace fescuevane::decide

#endif
