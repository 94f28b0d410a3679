// Purpose: system: throttles fillers while a task on the same target exceeds
// its latency bound, and raises their pace again in steps.
#include "plan/planner.hpp"

#include <algorithm>
#include <map>

namespace fescuevane::plan
{
namespace
{

// The pace of fillers is raised again only well below the bound, because the
// load of a latency-bound task changes within seconds.
constexpr double       raise_below_ratio = 0.7;
constexpr std::int32_t raise_percent = 25;
constexpr std::int32_t lower_divisor = 3;
constexpr std::int32_t min_percent = 10; // a lower pace becomes 0

} // namespace

void pace_fillers(planner& context)
{
    if (context.runs_.with(run_trait::filler).empty())
    {
        return;
    }
    // Highest tail latency / bound of each target, from raise_below_ratio up.
    std::map<target_id, double> worst_ratio;
    for (std::size_t const row : context.runs_.with(run_trait::latency_bound))
    {
        run_row const& run = context.runs_[row];
        double const   ratio = static_cast<double>(run.load_) /
                             static_cast<double>(run.latency_target_ms_);
        if (run.phase_ == run_phase::running && ratio >= raise_below_ratio)
        {
            double& most = worst_ratio[run.target_];
            most = std::max(most, ratio);
        }
    }
    for (std::size_t const row : context.runs_.with(run_trait::filler))
    {
        run_row const& run = context.runs_[row];
        if (run.phase_ != run_phase::running || run.pace_after_ > context.now_)
        {
            continue;
        }
        if (worst_ratio.empty() && run.pace_ == 100)
        {
            continue;
        }
        auto const   found = worst_ratio.find(run.target_);
        double const ratio = found == worst_ratio.end() ? 0 : found->second;
        std::int32_t pace = run.pace_;
        if (ratio > 1)
        {
            pace =
                pace / lower_divisor < min_percent ? 0 : pace / lower_divisor;
        }
        else if (ratio < raise_below_ratio)
        {
            pace = std::min(100, pace + raise_percent);
        }
        if (pace != run.pace_)
        {
            // The effect of a lower pace shows in the next reports; after a
            // raise the next change waits longer.
            run_state& state = context.runs_.state(row);
            state.pace_after_ = context.now_.after(
                pace < run.pace_ ? context.settings_.pace_step_micros_ / 2
                                 : context.settings_.pace_step_micros_);
            state.pace_ = pace;
            context.outbox_.push_back(
                pace_run{context.runs_.key(row), run.target_, pace});
        }
    }
}

} // namespace fescuevane::plan
