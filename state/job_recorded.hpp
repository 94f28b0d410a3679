// Purpose: command: the journal entry of a job is decided.
#ifndef FESCUEVANE_STATE_JOB_RECORDED_HPP
#define FESCUEVANE_STATE_JOB_RECORDED_HPP

#include "core/job_key.hpp"
#include "core/shard_id.hpp"

#include <string>

namespace fescuevane::state
{

struct job_recorded
{
    shard_id const    shard_;
    job_key const     job_;
    bool const        recorded_ = false; // false: surely not written
    std::string const reason_;           // when not

    friend bool operator==(job_recorded const&, job_recorded const&) = default;
};

} // namespace fescuevane::state

#endif
