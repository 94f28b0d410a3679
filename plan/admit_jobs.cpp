// Purpose: decides which new jobs a shard takes in under load.
//
// Index of sections
//   1. Room for lasting work
//   2. Expected starts
//   3. Decisions
#include "plan/plan.hpp"

#include "core/staged_job.hpp"
#include "plan/admission.hpp"
#include "plan/forecast_starts.hpp"
#include "plan/job_flow.hpp"
#include "plan/planner.hpp"
#include "plan/promise_returns.hpp"
#include "plan/rate_credit.hpp"
#include "plan/room.hpp"
#include "plan/stage_rank.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>
#include <utility>

namespace fescuevane::plan
{
namespace
{

// 1. Room for lasting work

// Nothing tells when lasting work ends, so its callers come back after this.
constexpr std::int64_t lasting_return_micros = 5'000'000;

bool is_lasting(staged_job const& job)
{
    return std::any_of(job.steps_.begin(), job.steps_.end(),
                       [](step_spec const& step)
                       {
                           return step.perpetual_;
                       });
}

bool may_run_on(staged_job const& job, step_spec const& step,
                target_row const& target)
{
    std::string const& label = step.required_label_;
    return target.phase_ != target_phase::draining &&
           target.service_ == job.service_ &&
           (label.empty() ||
            std::find(target.labels_.begin(), target.labels_.end(), label) !=
                target.labels_.end());
}

// Waiting tasks take what other work leaves before a new job does.
resources sum_waiting_lasting(planner const& context)
{
    resources sum;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        step_spec const& step = find_step(context, context.stages_.key(row));
        if (step.perpetual_)
        {
            sum = sum + step.demand_ * count_waiting(context.stages_[row]);
        }
    }
    return sum;
}

bool has_room_for_lasting(planner const& context, staged_job const& job)
{
    resources const waiting = sum_waiting_lasting(context);
    for (step_spec const& step : job.steps_)
    {
        if (!step.perpetual_)
        {
            continue;
        }
        std::int64_t fitting = 0;
        resources    room;
        for (target_row const& target : context.targets_)
        {
            if (may_run_on(job, step, target))
            {
                resources const left = target.capacity_ - target.lasting_;
                room = room + left;
                fitting += count_fitting_in(step, target, left);
            }
        }
        resources const needed = waiting + step.demand_ * step.count_;
        if (fitting < step.count_ || !needed.fits_in(room))
        {
            return false;
        }
    }
    return true;
}

// 2. Expected starts

// A new job, as the queue sees it.
struct newcomer
{
    staged_job const&   job_;
    queue_policy const& queue_;
    double              path_ms_ = 0;
    double              objective_ms_ = 0;
    std::int64_t        cpu_millis_ = 0; // of its first tasks
    double              work_ = 0;       // 1/1000 core x ms, of all steps
    bool                within_rate_ = true;
    bool                returning_ = false; // as it was told
};

newcomer describe(planner const&                           context,
                  std::shared_ptr<staged_job const> const& job,
                  queue_policy const& queue, instant now, bool returning)
{
    job_row row;
    row.spec_ = job;
    estimate_critical_path(context, row);
    std::int64_t millis = 0;
    double       work = 0;
    for (std::uint32_t index = 0; index < job->steps_.size(); ++index)
    {
        step_spec const& step = job->steps_[index];
        work += static_cast<double>(count_millis(step, step.count_)) *
                expect_step_ms(context, row, index);
        millis += step.after_.empty() ? count_millis(step, step.count_) : 0;
    }
    organisation_row const* const organisation =
        context.organisations_.find(job->organisation_);
    bool const within = organisation == nullptr || organisation->weight_ <= 0 ||
                        find_credit(*organisation, now) >= 1;
    return {.job_ = *job,
            .queue_ = queue,
            .path_ms_ = row.critical_path_ms_,
            .objective_ms_ = queue.slack_factor_ * row.critical_path_ms_ +
                             static_cast<double>(queue.objective_ms_),
            .cpu_millis_ = millis,
            .work_ = work,
            .within_rate_ = within,
            .returning_ = returning};
}

// The last row that ranks before the job, or an empty queue.
forecast_row find_queue_before(planner const& context, newcomer const& job,
                               std::int32_t lateness)
{
    std::vector<forecast_row> const& rows = context.forecast_.rows_;
    stage_rank const                 rank{
        lateness + (job.within_rate_ ? 0 : over_rate_lateness),
        job.queue_.priority_,
        static_cast<std::int64_t>(job.objective_ms_ - job.path_ms_),
        {job.job_.id_, 0, 0}};
    auto const end =
        std::lower_bound(rows.begin(), rows.end(), rank,
                         [](forecast_row const& row, stage_rank const& value)
                         {
                             return row.rank_ < value;
                         });
    return end == rows.begin()
               ? forecast_row{.free_millis_ = context.forecast_.free_millis_}
               : *std::prev(end);
}

// Time until `millis` more come free; 0 when nothing is known to end.
double expect_freed_ms(double millis, double freed_per_ms)
{
    return millis <= 0 || freed_per_ms <= 0 ? 0 : millis / freed_per_ms;
}

// Arrivals are expected to go on as in about the last two seconds.
constexpr double arrival_decay_ms = 2'000;

double find_arrival_millis(arrival_rate const& rate, instant now)
{
    double const passed_ms =
        static_cast<double>(rate.at_.remaining_until(now)) / micros_per_milli;
    return rate.millis_ * std::exp(-passed_ms / arrival_decay_ms);
}

// Share of the room that comes free which work that arrives later leaves to a
// job: all work that is on time precedes a late job, and work of a better
// priority one that is on time.
double find_share_left(planner const& context, newcomer const& job,
                       std::int32_t lateness, instant now)
{
    constexpr double least_share = 0.05;
    bool const       all_precede = lateness > 0 || !job.within_rate_;
    double           arriving = 0;
    for (std::size_t row = 0; row < context.arrivals_.size(); ++row)
    {
        if (all_precede || context.arrivals_.key(row) < job.queue_.priority_)
        {
            arriving += find_arrival_millis(context.arrivals_[row], now);
        }
    }
    double const room = static_cast<double>(context.forecast_.free_millis_ +
                                            context.forecast_.busy_millis_);
    return std::max(least_share, 1 - arriving / std::max(1.0, room));
}

void count_arrival(planner& context, newcomer const& job, instant now)
{
    arrival_rate& rate = context.arrivals_.ensure(job.queue_.priority_);
    rate.millis_ =
        find_arrival_millis(rate, now) + job.work_ / arrival_decay_ms;
    rate.at_ = now;
}

double expect_ticket_ms(planner const& context, newcomer const& job,
                        forecast_row const& before)
{
    if (!job.queue_.advice_)
    {
        return 0;
    }
    advice_policy const& advice = *job.queue_.advice_;
    bool const           is_long = is_long_reply(context, advice);
    std::uint32_t const  ahead =
        is_long ? context.long_requests_ + before.long_requests_
                 : context.short_requests_ + before.short_requests_;
    std::uint32_t const at_once =
        std::max(1U, is_long ? context.max_long_requests_
                             : context.settings_.max_short_requests_);
    double const reply_ms =
        static_cast<double>(expect_reply_micros(
            advice, std::min<std::size_t>(context.targets_.size(),
                                          context.settings_.advice_targets_))) /
        micros_per_milli;
    std::uint32_t const replies = 1 + ahead / at_once;
    return reply_ms * replies;
}

// Wait until the first tasks of the job have room and a ticket.
double expect_start_ms(planner const& context, newcomer const& job,
                       std::int32_t lateness, instant now)
{
    forecast_row const    before = find_queue_before(context, job, lateness);
    start_forecast const& forecast = context.forecast_;
    double const          room_at_ms = std::max(
                 0.0, before.wait_ms_ -
                          static_cast<double>(forecast.made_at_.remaining_until(now)) /
                              micros_per_milli);
    // Callers who come back as they were told precede new ones.
    std::int64_t const promised =
        job.returning_ ? 0
                       : count_promised(context, job.queue_.id_,
                                        now.after(static_cast<std::int64_t>(
                                            room_at_ms * micros_per_milli)));
    double const lacking =
        static_cast<double>(job.cpu_millis_ + forecast.accepted_millis_ +
                            promised - before.free_millis_);
    double wait_ms =
        (room_at_ms + expect_freed_ms(lacking, forecast.freed_per_ms_)) /
        find_share_left(context, job, lateness, now);
    auto const own = forecast.organisations_.find(job.job_.organisation_);
    if (own != forecast.organisations_.end())
    {
        wait_ms = std::max(
            wait_ms,
            expect_freed_ms(
                static_cast<double>(job.cpu_millis_ - own->second.left_millis_),
                own->second.freed_per_ms_));
    }
    return std::max(wait_ms, expect_ticket_ms(context, job, before));
}

// 3. Decisions

// What is refused at each level, in the order of `admission_level`.
constexpr std::array<job_outlook, 3> worst_accepted = {
    job_outlook::no_room, job_outlook::late, job_outlook::on_time};

job_outlook find_outlook(planner const& context, newcomer const& job,
                         double on_time_start_ms, instant now)
{
    if (on_time_start_ms + job.path_ms_ <= job.objective_ms_)
    {
        return job_outlook::on_time;
    }
    return expect_start_ms(context, job, 1, now) + job.path_ms_ <=
                   zero_value_factor * job.objective_ms_
               ? job_outlook::late
               : job_outlook::worthless;
}

// True if the job can end before it loses its value to a caller who first asked
// then. It ranks by that time; a later return ranks like a new job.
bool has_value_since(newcomer const& job, instant asked_at, instant now)
{
    double const passed_ms =
        static_cast<double>(asked_at.remaining_until(now)) / micros_per_milli;
    return passed_ms + job.path_ms_ <= zero_value_factor * job.objective_ms_;
}

instant find_return_time(planner& context, newcomer const& job, double start_ms,
                         instant now, bool promises)
{
    // A caller who comes back then still ends on time.
    double const  spare_ms = job.objective_ms_ - job.path_ms_;
    instant const room_at = now.after(static_cast<std::int64_t>(
        std::max(0.0, start_ms - spare_ms) * micros_per_milli));
    if (!promises)
    {
        return std::max(room_at,
                        now.after(context.settings_.return_step_micros_));
    }
    return promise_return(context, job.job_.id_,
                          {.queue_ = job.queue_.id_,
                           .cpu_millis_ = job.cpu_millis_,
                           .return_at_ = room_at,
                           .within_rate_ = job.within_rate_},
                          find_share_left(context, job, 1, now), now);
}

admission admit_ending_job(planner&                                 context,
                           std::shared_ptr<staged_job const> const& job,
                           queue_policy const& queue, instant now,
                           bool promises)
{
    if (context.forecast_.valid_until_ <= now)
    {
        context.forecast_ = forecast_starts(context, now);
    }
    if (!context.forecast_.complete_)
    {
        return {};
    }
    std::optional<promise_row> const promise =
        find_kept_promise(context, job->id_, now);
    bool const     returning = promise.has_value();
    newcomer const arrived = describe(context, job, queue, now, returning);
    double const   start_ms = expect_start_ms(context, arrived, 0, now);
    admission      decision{.outlook_ =
                           find_outlook(context, arrived, start_ms, now),
                            .promise_kept_ = returning};
    decision.accepted_ =
        decision.outlook_ <= worst_accepted.at(static_cast<std::size_t>(
                                 context.settings_.admission_));
    if (decision.accepted_)
    {
        if (returning && has_value_since(arrived, promise->refused_at_, now))
        {
            close_promise(context, job->id_, now);
        }
        else
        {
            context.promises_.remove(job->id_);
        }
        context.forecast_.accepted_millis_ += arrived.cpu_millis_;
        if (decision.outlook_ == job_outlook::on_time && arrived.within_rate_ &&
            !returning)
        {
            count_arrival(context, arrived, now);
        }
    }
    else
    {
        decision.return_at_ =
            find_return_time(context, arrived, start_ms, now, promises);
    }
    return decision;
}

} // namespace

admission admit_job(planner&                                 context,
                    std::shared_ptr<staged_job const> const& job, instant now,
                    bool promises)
{
    queue_policy const* const queue = find_policy(context, *job);
    if (context.settings_.admission_ == admission_level::off || job->alias_ ||
        job->repeat_count_ > 0 || queue == nullptr)
    {
        return {};
    }
    if (!is_lasting(*job))
    {
        return admit_ending_job(context, job, *queue, now, promises);
    }
    // A shard without known targets has just changed its owner.
    if (context.targets_.empty() || has_room_for_lasting(context, *job))
    {
        return {};
    }
    return {.accepted_ = false,
            .outlook_ = job_outlook::no_room,
            .return_at_ = now.after(lasting_return_micros)};
}

} // namespace fescuevane::plan
