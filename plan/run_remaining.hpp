// Purpose: expected remaining time of a run. Internal to the package.
#ifndef FESCUEVANE_PLAN_RUN_REMAINING_HPP
#define FESCUEVANE_PLAN_RUN_REMAINING_HPP

#include <optional>

namespace fescuevane::plan
{

struct planner;
struct run_row;

// Time since the start of the run.
double elapsed_run_ms(planner const& context, run_row const& run);

// Remaining time of a run, extrapolated from its progress. More accurate than
// the estimate, which is often off by a factor of several. Empty while there is
// too little progress.
std::optional<double> estimate_remaining_by_progress_ms(planner const& context,
                                                        run_row const& run);

} // namespace fescuevane::plan

#endif
