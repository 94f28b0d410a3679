// Purpose: what one shard has learnt about the run times of one key.
#ifndef FESCUEVANE_PLAN_RUN_TIME_ROW_HPP
#define FESCUEVANE_PLAN_RUN_TIME_ROW_HPP

#include "plan/run_time_key.hpp"
#include "plan/run_time_sums.hpp"

#include <cstdint>

namespace fescuevane::plan
{

struct run_time_row
{
    run_time_key  key_;
    run_time_sums sums_;
    std::int64_t  learnt_unix_ms_ = 0; // time of the latest sample

    friend bool operator==(run_time_row const&, run_time_row const&) = default;
};

} // namespace fescuevane::plan

#endif
