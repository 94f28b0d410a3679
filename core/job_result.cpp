// Purpose: comparison of job results.
#include "core/job_result.hpp"

#include <tuple>

namespace fescuevane
{
namespace
{

// Two bodies are equal when their bytes are, wherever they are stored.
bool have_equal_bytes(shared_bytes const& a, shared_bytes const& b)
{
    return a == b || (a && b && *a == *b);
}

} // namespace

bool operator==(job_result const& a, job_result const& b)
{
    auto const tie = [](job_result const& r)
    {
        return std::tie(r.key_, r.state_, r.outcome_, r.attempt_, r.reason_,
                        r.retry_after_micros_, r.target_, r.owner_);
    };
    return tie(a) == tie(b) && have_equal_bytes(a.body_, b.body_);
}

} // namespace fescuevane
