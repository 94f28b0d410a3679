// Purpose: expected rest of a run. Internal to the package.
#ifndef FESCUEVANE_PLAN_RUN_REMAINING_HPP
#define FESCUEVANE_PLAN_RUN_REMAINING_HPP

#include <optional>

namespace fescuevane::plan
{

struct planner;
struct run_row;

// Time that the run has taken so far.
double elapsed_run_ms(planner const& context, run_row const& run);

// Rest of a run by the share of its work that it has done, which tells more
// than the estimate: that is often off by a factor of several. None while too
// little of it is done to tell.
std::optional<double> estimate_remaining_by_progress_ms(planner const& context,
                                                        run_row const& run);

} // namespace fescuevane::plan

#endif
