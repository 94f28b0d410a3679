// Purpose: forecast of the starts of waiting work from the expected ends of
// runs.
#include "plan/forecast_starts.hpp"

#include "plan/job_flow.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"
#include "plan/run_remaining.hpp"
#include "plan/stage_rank.hpp"
#include "plan/stage_view.hpp"

#include <algorithm>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace fescuevane::plan
{
namespace
{

// Work that starts later than this counts as starting then, which bounds the
// cost of a forecast.
constexpr double horizon_ms = 60'000;

constexpr double min_run_ms = 10;

using release = std::pair<double, std::int64_t>; // ms from now, 1/1000 core
using releases =
    std::priority_queue<release, std::vector<release>, std::greater<>>;

// Targets and runs of the shard, as the forecast goes on.
struct forecast_state
{
    std::int64_t free_millis_ = 0;
    double       at_ms_ = 0;
    releases     releases_;
};

void count_targets(planner const& context, start_forecast& forecast)
{
    forecast.complete_ = context.in_service_ && !context.targets_.empty();
    bool has_usable = false;
    for (target_row const& target : context.targets_)
    {
        // What runs on it isn't known yet.
        forecast.complete_ =
            forecast.complete_ && target.phase_ != target_phase::attaching;
        if (target.phase_ == target_phase::usable)
        {
            has_usable = true;
            forecast.free_millis_ += std::max<std::int64_t>(
                0, (target.capacity_ - target.used_).cpu_millis());
        }
    }
    forecast.complete_ = forecast.complete_ && has_usable;
}

void count_organisations(planner const& context, start_forecast& forecast)
{
    for (std::size_t row = 0; row < context.organisations_.size(); ++row)
    {
        organisation_row const& organisation = context.organisations_[row];
        std::int64_t const      limit = organisation.limit_.cpu_millis();
        if (limit > 0)
        {
            forecast.organisations_[context.organisations_.key(row)] = {
                .limited_ = true,
                .left_millis_ =
                    limit -
                    (organisation.used_ + organisation.unseen_).cpu_millis()};
        }
    }
}

void count_runs(planner const& context, start_forecast& forecast,
                forecast_state& state)
{
    for (std::size_t row = 0; row < context.runs_.size(); ++row)
    {
        run_row const&     run = context.runs_[row];
        std::int64_t const millis =
            charged_resources(run.demand_, run.filler_).cpu_millis();
        target_row const* const target = context.targets_.find(run.target_);
        if (run.lasting_ || millis == 0 || target == nullptr ||
            target->phase_ != target_phase::usable)
        {
            continue;
        }
        double const expected_ms = std::max(
            min_run_ms, expect_run_ms(context, context.runs_.key(row).stage_));
        double const rest_ms =
            estimate_remaining_by_progress_ms(context, run)
                .value_or(expected_ms - elapsed_run_ms(context, run));
        state.releases_.emplace(std::max(0.0, rest_ms), millis);
        double const freed_per_ms = static_cast<double>(millis) / expected_ms;
        forecast.freed_per_ms_ += freed_per_ms;
        forecast.busy_millis_ += millis;
        auto const organisation =
            forecast.organisations_.find(run.organisation_);
        if (organisation != forecast.organisations_.end())
        {
            organisation->second.freed_per_ms_ += freed_per_ms;
        }
    }
}

// Starts tasks that need `millis` as room comes free.
void start_tasks(forecast_state& state, std::int64_t millis, double run_ms,
                 bool lasting)
{
    while (millis > 0 && state.at_ms_ < horizon_ms)
    {
        std::int64_t const started = std::min(millis, state.free_millis_);
        if (started > 0)
        {
            state.free_millis_ -= started;
            millis -= started;
            if (!lasting)
            {
                state.releases_.emplace(state.at_ms_ + run_ms, started);
            }
            continue;
        }
        if (state.releases_.empty())
        {
            return;
        }
        state.at_ms_ = std::max(state.at_ms_, state.releases_.top().first);
        state.free_millis_ += state.releases_.top().second;
        state.releases_.pop();
    }
}

bool lacks_request(stage_view const& stage)
{
    return needs_ticket(stage) && stage.row_.asked_ == 0 &&
           stage.row_.tickets_.empty();
}

void add_stage(planner const& context, stage_rank const& rank,
               start_forecast& forecast, forecast_state& state,
               forecast_row& sums)
{
    stage_view const stage = view_stage(context, rank.stage_);
    std::int64_t millis = count_millis(stage.step_, count_waiting(stage.row_));
    auto const   organisation =
        forecast.organisations_.find(stage.job_.spec_->organisation_);
    if (organisation != forecast.organisations_.end())
    {
        // Beyond its limit it takes only room that its own runs leave.
        std::int64_t&      left = organisation->second.left_millis_;
        std::int64_t const within = std::clamp<std::int64_t>(left, 0, millis);
        left -= millis;
        millis = within;
    }
    start_tasks(state, millis,
                std::max(min_run_ms, expect_run_ms(context, rank.stage_)),
                stage.step_.perpetual_);
    if (lacks_request(stage))
    {
        ++(is_long_reply(context, *stage.queue_->advice_)
               ? sums.long_requests_
               : sums.short_requests_);
    }
    sums.rank_ = rank;
    sums.wait_ms_ = state.at_ms_;
    sums.free_millis_ = state.free_millis_;
    forecast.rows_.push_back(sums);
}

} // namespace

std::int64_t count_millis(step_spec const& step, std::int64_t count)
{
    return required_room(step).cpu_millis() * count;
}

bool is_long_reply(planner const& context, advice_policy const& advice)
{
    std::size_t const targets = std::min<std::size_t>(
        context.targets_.size(), context.settings_.advice_targets_);
    return static_cast<double>(expect_reply_micros(advice, targets)) >
           context.settings_.advice_long_ms_ * micros_per_milli;
}

start_forecast forecast_starts(planner const& context, instant now)
{
    start_forecast forecast{.made_at_ = now,
                            .valid_until_ =
                                now.after(context.settings_.forecast_micros_)};
    count_targets(context, forecast);
    if (!forecast.complete_)
    {
        return forecast;
    }
    count_organisations(context, forecast);
    forecast_state state{.free_millis_ = forecast.free_millis_};
    count_runs(context, forecast, state);
    forecast_row sums;
    for (stage_rank const& rank : rank_waiting_stages(context))
    {
        add_stage(context, rank, forecast, state, sums);
    }
    return forecast;
}

} // namespace fescuevane::plan
