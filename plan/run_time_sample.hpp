// Purpose: one run as a sample of a model of run times.
#ifndef FESCUEVANE_PLAN_RUN_TIME_SAMPLE_HPP
#define FESCUEVANE_PLAN_RUN_TIME_SAMPLE_HPP

#include "plan/run_time_key.hpp"

namespace fescuevane::plan
{

struct run_time_sample
{
    run_time_key key_;
    double       declared_ms_ = 0;
    double       ran_ms_ = 0; // until now for a running task

    friend bool operator==(run_time_sample const&,
                           run_time_sample const&) = default;
};

} // namespace fescuevane::plan

#endif
