// Purpose: expected run time of a task.
#ifndef FESCUEVANE_PLAN_RUN_TIME_ESTIMATE_HPP
#define FESCUEVANE_PLAN_RUN_TIME_ESTIMATE_HPP

#include <compare>

namespace fescuevane::plan
{

// In milliseconds, on a target of mean speed.
struct run_time_estimate
{
    double median_ms_ = 0;
    double high_ms_ = 0; // 95th percentile of the tasks outside the tail
    double samples_ = 0; // weight of the ended runs of just this key

    friend auto operator<=>(run_time_estimate const&,
                            run_time_estimate const&) = default;
};

} // namespace fescuevane::plan

#endif
