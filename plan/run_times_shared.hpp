// Purpose: event: rows that all other shards learnt; replaces the earlier ones.
#ifndef FESCUEVANE_PLAN_RUN_TIMES_SHARED_HPP
#define FESCUEVANE_PLAN_RUN_TIMES_SHARED_HPP

#include "plan/run_time_row.hpp"

#include <vector>

namespace fescuevane::plan
{

struct run_times_shared
{
    std::vector<run_time_row> const rows_;

    friend bool operator==(run_times_shared const&,
                           run_times_shared const&) = default;
};

} // namespace fescuevane::plan

#endif
