// Purpose: decoded row of the table of jobs.
#ifndef FESCUEVANE_CELL_JOB_RECORD_HPP
#define FESCUEVANE_CELL_JOB_RECORD_HPP

#include "core/job_progress.hpp"
#include "core/shard_id.hpp"
#include "core/staged_job.hpp"

#include <memory>
#include <string>

namespace fescuevane::cell
{

struct job_record
{
    shard_id                          shard_;
    std::shared_ptr<staged_job const> job_;
    std::string                       spec_text_; // encoded specification
    job_progress                      progress_;
};

} // namespace fescuevane::cell

#endif
