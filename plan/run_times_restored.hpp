// Purpose: event: rows that an earlier owner of the shard learnt.
#ifndef FESCUEVANE_PLAN_RUN_TIMES_RESTORED_HPP
#define FESCUEVANE_PLAN_RUN_TIMES_RESTORED_HPP

#include "plan/run_time_row.hpp"

#include <vector>

namespace fescuevane::plan
{

struct run_times_restored
{
    std::vector<run_time_row> const rows_;

    friend bool operator==(run_times_restored const&,
                           run_times_restored const&) = default;
};

} // namespace fescuevane::plan

#endif
