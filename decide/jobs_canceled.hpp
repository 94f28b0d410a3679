// Purpose: event: callers withdrew jobs.
#ifndef FESCUEVANE_DECIDE_JOBS_CANCELED_HPP
#define FESCUEVANE_DECIDE_JOBS_CANCELED_HPP

#include "core/job_key.hpp"

#include <vector>

namespace fescuevane::decide
{

// One event carries a whole wave of cancellations.
struct jobs_canceled
{
    std::vector<job_key> const jobs_;

    friend bool operator==(jobs_canceled const&,
                           jobs_canceled const&) = default;
};

} // namespace fescuevane::decide

#endif
