// Purpose: comparison of job specifications.
#include "core/job_spec.hpp"

namespace fescuevane
{
namespace
{

std::string const& read_bytes(shared_bytes const& bytes)
{
    static std::string const empty;
    return bytes ? *bytes : empty;
}

} // namespace

bool job_spec::has_same_content(job_spec const& other) const
{
    return key_ == other.key_ && service_ == other.service_ &&
           kind_ == other.kind_ && task_count_ == other.task_count_ &&
           demand_ == other.demand_ && idempotent_ == other.idempotent_ &&
           declared_run_micros_ == other.declared_run_micros_ &&
           read_bytes(payload_) == read_bytes(other.payload_);
}

} // namespace fescuevane
