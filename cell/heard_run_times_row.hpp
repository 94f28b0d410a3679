// Purpose: run times that the owner of another shard reports.
#ifndef FESCUEVANE_CELL_HEARD_RUN_TIMES_ROW_HPP
#define FESCUEVANE_CELL_HEARD_RUN_TIMES_ROW_HPP

#include "plan/run_time_row.hpp"

#include <cstdint>
#include <map>

namespace fescuevane::cell
{

struct heard_run_times_row
{
    std::map<plan::run_time_key, plan::run_time_row> rows_;
    std::uint64_t dropped_ = 0; // not plausible, or beyond the bound
};

} // namespace fescuevane::cell

#endif
