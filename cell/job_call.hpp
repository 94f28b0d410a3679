// Purpose: call about one job, as sent between hosts.
#ifndef FESCUEVANE_CELL_JOB_CALL_HPP
#define FESCUEVANE_CELL_JOB_CALL_HPP

#include "cell/call_kind.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"
#include "core/staged_job.hpp"

#include <memory>

namespace fescuevane::cell
{

struct job_call
{
    call_kind const kind_ = call_kind::lookup;
    job_id const    id_;
    shard_id const  shard_;
    std::shared_ptr<staged_job const> const
                  job_; // submitted or offered, else null
    instant const deadline_;

    friend bool operator==(job_call const&, job_call const&) = default;
};

} // namespace fescuevane::cell

#endif
