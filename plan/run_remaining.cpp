// Purpose: expected remaining time of a run.
#include "plan/run_remaining.hpp"

#include "plan/planner.hpp"

namespace fescuevane::plan
{

double elapsed_run_ms(planner const& context, run_row const& run)
{
    return static_cast<double>(run.started_at_.remaining_until(context.now_)) /
           micros_per_milli;
}

std::optional<double> estimate_remaining_by_progress_ms(planner const& context,
                                                        run_row const& run)
{
    constexpr int min_percent = 5; // less gives too rough a rate
    int const     done = run.percent_ - run.base_percent_;
    if (run.base_percent_ < 0 || done < min_percent)
    {
        return std::nullopt;
    }
    double const until_report_ms =
        static_cast<double>(run.base_at_.remaining_until(run.progressed_at_)) /
        micros_per_milli;
    double const since_report_ms =
        static_cast<double>(run.progressed_at_.remaining_until(context.now_)) /
        micros_per_milli;
    return until_report_ms * (100 - run.percent_) / done - since_report_ms;
}

} // namespace fescuevane::plan
