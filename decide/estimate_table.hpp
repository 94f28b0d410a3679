// Purpose: table of what classes of work have used, one row a class.
#ifndef FESCUEVANE_DECIDE_ESTIMATE_TABLE_HPP
#define FESCUEVANE_DECIDE_ESTIMATE_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/job_key.hpp"
#include "core/resources.hpp"
#include "core/row_index.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fescuevane::decide
{

// A class is a service of a team. Rows are never removed.
struct estimate_table
{
    row_index<job_key>                index_; // team, service id as job id
    column<std::vector<resources>>    peaks_; // of the last tasks, a ring
    column<std::vector<std::int64_t>> runs_;  // run times, microseconds
    column<std::size_t>               next_;  // cell of the ring to replace
    column<resources>                 usage_quantile_; // zero: not learnt
    column<std::int64_t>              run_quantile_;   // zero: not learnt
};

std::size_t find_or_append_class(estimate_table& table, team_id const& team,
                                 service_id const& service);

// Adds what one ended task has used; `peak` is zero when it was not reported.
void learn_task(estimate_table& table, std::size_t row, resources const& peak,
                std::int64_t run_micros);

} // namespace fescuevane::decide

#endif
