// Purpose: takes lent capacity back step by step.
//
// Index of sections
//   1. Who lacks and who has too much
//   2. Steps
//   3. Victims
#include "decide/reclaim.hpp"
#include "decide/scheduler.hpp"
#include "decide/shares.hpp"
#include "decide/task_flow.hpp"

#include <algorithm>
#include <array>
#include <numeric>
#include <optional>
#include <vector>

namespace fescuevane::decide
{

// 1. Who lacks and who has too much

namespace
{

// A team within this part of its share is neither owed capacity nor asked to
// give any back; less would move single tasks to and fro.
constexpr double tolerance = 0.01;

// Sums of parts of the shard differ from exact ones by less than this.
constexpr double rounding = 1e-9;

bool is_active(team_table const& teams, std::size_t team)
{
    return teams.configured_[team] != 0 &&
           (teams.queued_[team] > 0 || teams.running_count_[team] > 0);
}

// Weighted part of the shard of each team; 0 for teams without work.
std::vector<double> compute_entitlements(team_table const& teams)
{
    std::vector<double> entitled(teams.index_.size(), 0.0);
    double              weights = 0;
    for (std::size_t team = 0; team < entitled.size(); ++team)
    {
        weights += is_active(teams, team)
                       ? static_cast<double>(teams.share_[team])
                       : 0.0;
    }
    for (std::size_t team = 0; team < entitled.size(); ++team)
    {
        entitled[team] = is_active(teams, team)
                             ? static_cast<double>(teams.share_[team]) / weights
                             : 0.0;
    }
    return entitled;
}

// Part of the shard that the smallest of the first waiting entries needs.
double compute_next_part(scheduler const& context, std::size_t team)
{
    double smallest = 1.0;
    for (auto const& queue : context.teams_.queues_[team])
    {
        if (!queue.empty())
        {
            queue_entry const& entry = *queue.begin();
            smallest = std::min(
                smallest, compute_fraction(entry.demand_ * entry.task_count_,
                                           context.targets_.total_));
        }
    }
    return smallest;
}

// A team that would pass its share with its next start is not owed capacity:
// stopping a task for it only exchanges the two teams, and the work of the
// stopped task is lost. A team without any running task always is.
double compute_least_deficit(scheduler const& context, std::size_t team,
                             double entitled)
{
    return context.teams_.running_count_[team] > 0
               ? std::max(tolerance * entitled,
                          compute_next_part(context, team) - rounding)
               : tolerance * entitled;
}

// Part of the shard that teams below their share wait for.
double compute_deficit(scheduler const&           context,
                       std::vector<double> const& entitled)
{
    double deficit = 0;
    for (std::size_t team = 0; team < entitled.size(); ++team)
    {
        if (context.teams_.blocked_[team] == 0 ||
            context.teams_.queued_[team] == 0)
        {
            continue;
        }
        double const missing =
            entitled[team] - compute_dominant_share(context, team);
        double const wanted = compute_fraction(context.teams_.waiting_[team],
                                               context.targets_.total_);
        deficit +=
            missing > compute_least_deficit(context, team, entitled[team])
                ? std::min(missing, wanted)
                : 0.0;
    }
    return deficit;
}

double compute_task_part(scheduler const& context, std::size_t task)
{
    return compute_fraction(context.tasks_.reservation_[task],
                            context.targets_.total_);
}

} // namespace

// 2. Steps

namespace
{

// Bounds a task to half of its processors, or lifts the bound.
void throttle(scheduler& context, std::size_t task, bool bounded)
{
    std::int64_t const cpu = context.tasks_.reservation_[task].cpu_millis();
    context.tasks_.throttled_[task] = bounded ? 1 : 0;
    context.outbox_.push_back(throttle_task{
        context.tasks_.index_.key(task), context.tasks_.target_[task],
        bounded ? std::max<std::int64_t>(cpu / 2, 1) : cpu});
}

// Row of a task that is throttled and not yet being stopped.
std::optional<std::size_t> find_throttled(scheduler const&     context,
                                          reclaim_entry const& entry)
{
    auto const task = context.tasks_.index_.find(entry.task_);
    bool const waits = task && context.tasks_.throttled_[*task] != 0 &&
                       context.tasks_.phase_[*task] != task_phase::stopping;
    return waits ? task : std::nullopt;
}

// Carries every step out that is due, or lifts the bounds when nothing is
// wanted any more.
void advance_steps(scheduler& context, bool wanted)
{
    std::vector<reclaim_entry> kept;
    for (reclaim_entry const& entry : context.reclaims_)
    {
        auto const task = find_throttled(context, entry);
        if (!task)
        {
            continue;
        }
        if (!wanted)
        {
            throttle(context, *task, false);
        }
        else if (entry.stop_at_ <= context.now_)
        {
            stop_running_task(context, *task, stop_cause::reclaimed, true);
        }
        else
        {
            kept.push_back(entry);
        }
    }
    context.reclaims_ = std::move(kept);
}

} // namespace

// 3. Victims

namespace
{

// Kinds in the order in which capacity is taken. Requests end by themselves.
constexpr std::array<work_kind, 3> reclaim_order = {
    work_kind::batch, work_kind::gang, work_kind::service};

// These bound the tick, not what is reclaimed over several ticks.
constexpr std::size_t victims_a_tick = 8;
constexpr std::size_t tasks_looked_at = 256;

bool may_reclaim(scheduler const& context, std::size_t task)
{
    auto const job =
        context.jobs_.index_.find(context.tasks_.index_.key(task).job_);
    return context.tasks_.phase_[task] != task_phase::stopping &&
           context.tasks_.throttled_[task] == 0 &&
           context.jobs_.spec_[*job]->idempotent_;
}

// Part of the shard that each team is about to give back.
std::vector<double> compute_coming(scheduler const& context)
{
    std::vector<double> coming;
    for (resources const& stopping : context.teams_.stopping_)
    {
        coming.push_back(compute_fraction(stopping, context.targets_.total_));
    }
    for (reclaim_entry const& entry : context.reclaims_)
    {
        if (auto const task = find_throttled(context, entry))
        {
            auto const team =
                context.teams_.index_.find(entry.task_.job_.team_);
            coming[*team] += compute_task_part(context, *task);
        }
    }
    return coming;
}

// Throttles the newest tasks of one kind while the team has too much.
void pick_victims(scheduler& context, std::size_t team, work_kind kind,
                  double& excess, double& deficit, std::size_t& left)
{
    auto const& running =
        context.teams_.running_[team][static_cast<std::size_t>(kind)];
    std::size_t looked_at = 0;
    for (auto entry = running.rbegin();
         entry != running.rend() && left > 0 && excess > 0 && deficit > 0 &&
         looked_at++ < tasks_looked_at;
         ++entry)
    {
        auto const   task = context.tasks_.index_.find(entry->second);
        double const part = compute_task_part(context, *task);
        if (!may_reclaim(context, *task) || part > excess + rounding)
        {
            continue;
        }
        instant const stop_at =
            context.now_.after(context.settings_.reclaim_grace_micros_);
        throttle(context, *task, true);
        context.reclaims_.push_back({entry->second, stop_at});
        add_timer(context.timers_, stop_at, timer_kind::wake, entry->second);
        excess -= part;
        deficit -= part;
        --left;
    }
}

} // namespace

void reclaim_lent_capacity(scheduler& context)
{
    auto const& blocked = context.teams_.blocked_;
    bool const  lacking =
        std::find(blocked.begin(), blocked.end(), 1) != blocked.end();
    if (!lacking && context.reclaims_.empty())
    {
        return;
    }
    auto const entitled = compute_entitlements(context.teams_);
    double     deficit = lacking ? compute_deficit(context, entitled) : 0.0;
    advance_steps(context, deficit > 0);
    std::size_t left = victims_a_tick;
    if (deficit <= 0)
    {
        return;
    }
    std::vector<double> const coming = compute_coming(context);
    deficit -= std::accumulate(coming.begin(), coming.end(), 0.0);
    for (std::size_t team = 0; deficit > 0 && team < entitled.size(); ++team)
    {
        double const share = compute_dominant_share(context, team);
        if (share <= entitled[team] * (1.0 + tolerance))
        {
            continue;
        }
        double excess = share - entitled[team] - coming[team];
        for (work_kind const kind : reclaim_order)
        {
            pick_victims(context, team, kind, excess, deficit, left);
        }
    }
}

} // namespace fescuevane::decide
