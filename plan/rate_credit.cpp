// Purpose: rate limit of an organisation.
#include "plan/rate_credit.hpp"

#include "plan/organisation_row.hpp"

#include <algorithm>

namespace fescuevane::plan
{
namespace
{

// Burst of jobs that an organisation may submit before its rate limit applies:
// a fixed number of jobs plus this many seconds of its rate.
constexpr double burst_seconds = 3;
constexpr double min_burst_jobs = 3;

} // namespace

double find_credit(organisation_row const& row, instant now)
{
    double const seconds =
        static_cast<double>(row.credit_at_.remaining_until(now)) /
        micros_per_second;
    return std::min(row.credit_ + seconds * row.weight_,
                    min_burst_jobs + burst_seconds * row.weight_);
}

} // namespace fescuevane::plan
