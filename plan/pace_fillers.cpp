// Purpose: system: slows fillers down while a task beside them misses its
// latency bound, and speeds them up again step by step.
#include "plan/planner.hpp"

#include <algorithm>
#include <map>

namespace fescuevane::plan
{
namespace
{

// Fillers are raised again only well below the bound: the load of a serving
// task changes within seconds.
constexpr double       calm_ratio = 0.7;
constexpr std::int32_t raise_percent = 25;
constexpr std::int32_t lower_divisor = 3;
constexpr std::int32_t min_percent = 10; // below it a filler stands still

} // namespace

void pace_fillers(planner& context)
{
    if (context.runs_.with(run_trait::filler).empty())
    {
        return;
    }
    std::map<target_id, double> worst; // tail latency over its bound, not calm
    for (std::size_t const row : context.runs_.with(run_trait::latency_bound))
    {
        run_row const& run = context.runs_[row];
        double const   ratio = static_cast<double>(run.load_) /
                             static_cast<double>(run.latency_target_ms_);
        if (run.phase_ == run_phase::running && ratio >= calm_ratio)
        {
            double& most = worst[run.target_];
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
        if (worst.empty() && run.pace_ == 100)
        {
            continue;
        }
        auto const   found = worst.find(run.target_);
        double const ratio = found == worst.end() ? 0 : found->second;
        std::int32_t pace = run.pace_;
        if (ratio > 1)
        {
            pace =
                pace / lower_divisor < min_percent ? 0 : pace / lower_divisor;
        }
        else if (ratio < calm_ratio)
        {
            pace = std::min(100, pace + raise_percent);
        }
        if (pace != run.pace_)
        {
            // A lowered pace shows in the next reports; a raise waits longer.
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
