// Purpose: errors of the estimates of run times, for the log.
#ifndef FESCUEVANE_PLAN_RUN_TIME_ERRORS_HPP
#define FESCUEVANE_PLAN_RUN_TIME_ERRORS_HPP

#include <cstdint>

namespace fescuevane::plan
{

// Sums of |ln(estimate / run time)| over finished runs.
struct run_time_errors
{
    std::uint64_t runs_ = 0;
    double        declared_ = 0;
    double        local_ = 0;       // by image, of this owner
    double        learnt_ = 0;      // by the model of all shards
    double        local_stage_ = 0; // with ended tasks of the stage
    double        learnt_stage_ = 0;

    friend bool operator==(run_time_errors const&,
                           run_time_errors const&) = default;
};

} // namespace fescuevane::plan

#endif
