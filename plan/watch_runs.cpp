// Purpose: system: finds runs that make no progress or are far slower than
// others of their image, and stops those that would end sooner elsewhere.
#include "plan/job_flow.hpp"
#include "plan/learn_run_times.hpp"
#include "plan/planner.hpp"

#include <algorithm>
#include <vector>

namespace fescuevane::plan
{
namespace
{

// Targets report at least once a second, so more frequent checks find nothing
// new.
constexpr std::int64_t watch_micros = 500'000;

// A run counts as stalled only when at least this share of its run time has
// passed without a whole percent of progress.
constexpr double stall_share = 0.25;

// A run is moved when its remaining time is this multiple of that of a new run.
// Tasks of one stage differ less than those of different jobs, but by more than
// a factor of two.
constexpr double slow_in_stage = 4;
constexpr double slow_in_queue = 5;
constexpr double restart_ms = 500;

// With the shared model: multiple of the 95th percentile, which follows the
// spread of the key. About the factors above at a spread of 0.5.
constexpr double slow_in_model = 2;
constexpr double min_samples = 8; // of an image's run time, to compare with
constexpr int    min_percent = 3; // of progress, to compute a rate

double elapsed_ms(planner const& context, instant since)
{
    return static_cast<double>(since.remaining_until(context.now_)) /
           micros_per_milli;
}

bool is_stalled(planner const& context, run_row const& run, double expected_ms)
{
    // Reports that arrived while the process ran late may not have been read.
    double const unchanged_ms =
        elapsed_ms(context, context.on_time_.count_silence_from(
                                run.progressed_at_,
                                context.settings_.max_stall_delay_micros_));
    double const bound_ms = std::max(
        static_cast<double>(context.settings_.stall_micros_) / micros_per_milli,
        stall_share * expected_ms);
    return run.percent_ < 100 && unchanged_ms > bound_ms;
}

// Remaining time of a run, extrapolated from its progress; 0 while there is too
// little progress.
double remaining_ms(run_row const& run)
{
    int const done = run.percent_ - run.base_percent_;
    if (run.base_percent_ < 0 || done < min_percent)
    {
        return 0;
    }
    // Reports are up to a second old, so the rate is computed up to the latest
    // one.
    double const ran_ms =
        static_cast<double>(run.base_at_.remaining_until(run.progressed_at_)) /
        micros_per_milli;
    return ran_ms * (100 - run.percent_) / done;
}

// True when the latest progress was read soon after it was made. A report that
// was delayed in a socket makes a run look slower than it is.
bool has_fresh_progress(planner const& context, run_row const& run)
{
    return context.on_time_.since().after(context.settings_.report_micros_) <=
           run.progressed_at_;
}

bool is_slow(planner const& context, stage_key const& stage, run_row const& run,
             double expected_ms)
{
    if (!has_fresh_progress(context, run))
    {
        return false;
    }
    bool const             siblings = context.stages_.find(stage)->samples_ > 0;
    image_row const* const image = context.images_.find(run.image_);
    if (!siblings && (image == nullptr || image->samples_ < min_samples))
    {
        return false;
    }
    if (uses_shared_run_times(context))
    {
        run_time_estimate const estimate = estimate_stage(context, stage);
        return estimate.samples_ >= min_samples &&
               remaining_ms(run) >
                   slow_in_model * estimate.high_ms_ + restart_ms;
    }
    return remaining_ms(run) >
           (siblings ? slow_in_stage : slow_in_queue) * expected_ms +
               restart_ms;
}

// False for runs that are neither stalled nor slow whatever their expected run
// time: most runs are excluded without a look-up.
bool may_be_stalled_or_slow(planner const& context, run_row const& run)
{
    return run.phase_ == run_phase::running && !run.filler_ &&
           (run.progressed_at_.after(context.settings_.stall_micros_) <
                context.now_ ||
            remaining_ms(run) > restart_ms);
}

// A task is moved once only: if it is slow on a second target too, the task
// itself is long.
bool was_moved(planner const& context, run_key const& run)
{
    return context.stages_.find(run.stage_)->tasks_[run.index_].moved_;
}

} // namespace

void watch_runs(planner& context)
{
    if (context.watch_at_ > context.now_)
    {
        if (!context.runs_.empty())
        {
            wake_at(context, context.watch_at_);
        }
        return;
    }
    context.watch_at_ = context.now_.after(watch_micros);
    std::vector<run_key> stalled;
    std::vector<run_key> slow;
    for (std::size_t row = 0; row < context.runs_.size(); ++row)
    {
        run_key const& key = context.runs_.key(row);
        run_row const& run = context.runs_[row];
        if (!may_be_stalled_or_slow(context, run) ||
            !context.stages_.contains(key.stage_))
        {
            continue;
        }
        target_row const* const target = context.targets_.find(run.target_);
        if (target == nullptr || target->phase_ == target_phase::silent)
        {
            continue; // sends no reports, so progress is unknown
        }
        step_spec const& step = find_step(context, key.stage_);
        double const     expected_ms = expect_run_ms(context, key.stage_);
        if (is_stalled(context, run, step.perpetual_ ? 0 : expected_ms))
        {
            stalled.push_back(key);
        }
        else if (!step.perpetual_ && !step.gang_ && !was_moved(context, key) &&
                 is_slow(context, key.stage_, run, expected_ms))
        {
            slow.push_back(key);
        }
    }
    for (run_key const& key : stalled)
    {
        target_id const target = context.runs_.find(key)->target_;
        count_target_failure(context, target, key.stage_.job_);
        context.stages_.find(key.stage_)
            ->tasks_.change(key.index_,
                            [&target](task_cell& task)
                            {
                                task.failed_on_ = target;
                            });
        order_stop(context, key, "no progress");
    }
    for (run_key const& key : slow)
    {
        target_id const target = context.runs_.find(key)->target_;
        context.targets_.find(target)->speed_ *= 0.5;
        context.stages_.find(key.stage_)
            ->tasks_.change(key.index_,
                            [&target](task_cell& task)
                            {
                                task.failed_on_ = target;
                                task.moved_ = true;
                            });
        order_stop(context, key, "slow target");
    }
    if (!context.runs_.empty())
    {
        wake_at(context, context.watch_at_);
    }
}

} // namespace fescuevane::plan
