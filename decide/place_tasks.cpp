// Purpose: the system that places queued tasks on targets.
//
// Index of sections
//   1. Amounts
//   2. Choice of a target
//   3. One queue entry
//   4. Teams in order of their shares
//   5. System
#include "decide/gang_flow.hpp"
#include "decide/placement_policy.hpp"
#include "decide/scheduler.hpp"
#include "decide/shares.hpp"
#include "decide/task_flow.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace fescuevane::decide
{
namespace
{

// What one round of placements has learnt. Free capacity only shrinks within
// a round, so an amount that did not fit once needs no second search.
struct placement_round
{
    std::vector<resources> too_large_;
    std::uint32_t          starts_ = 0;
    std::uint32_t          gang_tries_ = 0;
    bool                   ramp_waits_ = false;
};

enum class attempt_result : std::uint8_t
{
    placed,
    no_room,    // of the shard
    not_allowed // by allotment, ramp or missing data
};

// Searching room for a gang costs as much as for all its tasks.
constexpr std::uint32_t gang_tries_a_round = 32;
constexpr std::size_t   too_large_kept = 8;

} // namespace

// 1. Amounts

namespace
{

// What a start reserves: what the class was seen to need, or what is declared
// while too little is known. A learnt amount that fits no target or allotment
// gives way to the declared one.
resources compute_reservation(scheduler const& context, std::size_t team,
                              queue_entry const& entry)
{
    resources const  demand = entry.demand_;
    resources const& learnt = context.estimates_.usage_quantile_[entry.class_];
    if (learnt.is_zero())
    {
        return demand;
    }
    std::int64_t const margin = 100 + context.settings_.usage_margin_percent_;
    resources const    amount(learnt.cpu_millis() * margin / 100,
                              learnt.memory_mib() * margin / 100,
                              demand.accelerators());
    auto const&        allotment = context.teams_.allotment_[team];
    bool const fits = context.targets_.capacities_.find_fit(amount, 0) &&
                      (!allotment || amount.fits_in(*allotment));
    return fits ? amount : demand;
}

// After a return to service the part in use grows by the second.
bool fits_ramp(scheduler& context, resources const& amount)
{
    domain_state& domain = context.domain_;
    if (!domain.ramping_)
    {
        return true;
    }
    std::int64_t const percent =
        domain.ramp_start_.remaining_until(context.now_) *
        context.settings_.ramp_percent_a_second_ / micros_per_second;
    if (percent >= 100)
    {
        domain.ramping_ = false;
        return true;
    }
    resources const& total = context.targets_.total_;
    resources const  allowed(total.cpu_millis() * percent / 100,
                             total.memory_mib() * percent / 100,
                             total.accelerators() * percent / 100);
    return (context.targets_.total_used_ + amount)
        .fits_in(domain.ramp_base_ + allowed);
}

} // namespace

// 2. Choice of a target

namespace
{

// Costs of this many targets are compared; more add little, fewer spread
// unevenly.
constexpr std::size_t candidates_compared = 8;

struct best_target
{
    std::optional<std::size_t> row_;
    double                     cost_ = 0;

    void consider(std::size_t row, double cost)
    {
        if (!row_ || cost < cost_)
        {
            row_ = row;
            cost_ = cost;
        }
    }
};

std::optional<std::size_t> choose_target(scheduler const&        context,
                                         placement_policy const& policy,
                                         std::size_t job, task_key const& task,
                                         resources const& amount)
{
    capacity_tree const& rooms = context.targets_.rooms_;
    std::size_t const    origin = policy.find_origin_(context, task);
    std::size_t          from = origin;
    bool                 wrapped = origin == 0;
    best_target          best;
    for (std::size_t i = 0; i < candidates_compared; ++i)
    {
        auto row = rooms.find_fit(amount, from);
        if (!row && !wrapped)
        {
            wrapped = true;
            row = rooms.find_fit(amount, 0);
        }
        if (!row || (wrapped && origin != 0 && *row >= origin))
        {
            break;
        }
        best.consider(*row, policy.compute_cost_(context, job, *row, amount));
        from = *row + 1;
    }
    return best.row_;
}

// A batch that is expected to end before the gang can start may use a target
// that is held for it.
std::optional<std::size_t> choose_held_target(scheduler const& context,
                                              std::size_t      job,
                                              resources const& amount)
{
    std::int64_t const run =
        context.estimates_.run_quantile_[context.jobs_.class_[job]];
    if (!context.reservation_.active_ || run == 0 ||
        context.now_.after(run) > context.reservation_.expected_start_)
    {
        return std::nullopt;
    }
    for (target_id const& target : context.reservation_.targets_)
    {
        auto const row = context.targets_.index_.find(target);
        if (row && takes_work(context.targets_, *row) &&
            context.targets_.free_slots_[*row] > 0 &&
            amount.fits_in(context.targets_.free_[*row]))
        {
            return row;
        }
    }
    return std::nullopt;
}

} // namespace

// 3. One queue entry

namespace
{

bool is_too_large(placement_round const& round, resources const& amount)
{
    return std::any_of(round.too_large_.begin(), round.too_large_.end(),
                       [&amount](resources const& other)
                       {
                           return other.fits_in(amount);
                       });
}

// Keeps the smallest amounts, which rule out the most.
void note_too_large(placement_round& round, resources const& amount)
{
    std::erase_if(round.too_large_,
                  [&amount](resources const& other)
                  {
                      return amount.fits_in(other);
                  });
    if (round.too_large_.size() < too_large_kept)
    {
        round.too_large_.push_back(amount);
    }
}

attempt_result place_single(scheduler& context, placement_round& round,
                            placement_policy const& policy, std::size_t job,
                            task_key const& key, resources const& amount)
{
    std::optional<std::size_t> target;
    if (!is_too_large(round, amount))
    {
        target = choose_target(context, policy, job, key, amount);
        if (!target)
        {
            note_too_large(round, amount);
        }
    }
    if (!target && policy.backfills_)
    {
        target = choose_held_target(context, job, amount);
    }
    if (!target)
    {
        return attempt_result::no_room;
    }
    dispatch_task(context, *context.tasks_.index_.find(key), *target, amount);
    ++round.starts_;
    return attempt_result::placed;
}

// Takes room for all tasks of a gang and gives it back at once; the result
// names the targets, or is empty when not all fit.
std::vector<std::size_t> choose_gang_targets(scheduler&              context,
                                             placement_policy const& policy,
                                             std::size_t             job,
                                             task_key const&         key,
                                             resources const&        amount)
{
    std::uint32_t const      count = context.jobs_.spec_[job]->task_count_;
    std::vector<std::size_t> rows;
    for (std::uint32_t i = 0; i < count; ++i)
    {
        auto const row = choose_target(context, policy, job, key, amount);
        if (!row)
        {
            break;
        }
        reserve_on_target(context.targets_, *row, amount);
        rows.push_back(*row);
    }
    for (std::size_t const row : rows)
    {
        release_on_target(context.targets_, row, amount);
    }
    return rows.size() == count ? rows : std::vector<std::size_t>();
}

attempt_result place_gang(scheduler& context, placement_round& round,
                          placement_policy const& policy, std::size_t job,
                          task_key const& key, resources const& amount)
{
    bool const reserves =
        context.reservation_.active_ && context.reservation_.job_ == key.job_;
    if (round.gang_tries_ >= gang_tries_a_round ||
        (!reserves && is_too_large(round, amount)))
    {
        return attempt_result::no_room;
    }
    ++round.gang_tries_;
    if (reserves)
    {
        set_held(context, false);
    }
    std::vector<std::size_t> const rows =
        choose_gang_targets(context, policy, job, key, amount);
    if (rows.empty())
    {
        reserves ? set_held(context, true)
                 : reserve_for_gang(context, job, amount);
        return attempt_result::no_room;
    }
    if (reserves)
    {
        drop_reservation(context);
    }
    unqueue_gang(context, job);
    for (std::size_t i = 0; i < rows.size(); ++i)
    {
        dispatch_task(context, *find_task(context, job, i), rows[i], amount);
    }
    round.starts_ += static_cast<std::uint32_t>(rows.size());
    return attempt_result::placed;
}

attempt_result place_entry(scheduler& context, placement_round& round,
                           std::size_t team, work_kind kind,
                           queue_entry const& entry)
{
    placement_policy const& policy = find_policy(kind);
    resources const         amount = compute_reservation(context, team, entry);
    resources const         whole = amount * entry.task_count_;
    bool const may_backfill = policy.backfills_ && context.reservation_.active_;
    if (!fits_allotment(context, team, whole))
    {
        return attempt_result::not_allowed;
    }
    if (!policy.whole_job_ && !may_backfill && is_too_large(round, amount))
    {
        return attempt_result::no_room;
    }
    if (!fits_ramp(context, whole))
    {
        round.ramp_waits_ = true;
        return attempt_result::not_allowed;
    }
    std::size_t const job = *context.jobs_.index_.find(entry.task_.job_);
    return policy.whole_job_
               ? place_gang(context, round, policy, job, entry.task_, amount)
               : place_single(context, round, policy, job, entry.task_, amount);
}

} // namespace

// 4. Teams in order of their shares

namespace
{

// Tries the first entries of one kind.
attempt_result place_from_queue(scheduler& context, placement_round& round,
                                std::size_t team, work_kind kind)
{
    auto const& queue =
        context.teams_.queues_[team][static_cast<std::size_t>(kind)];
    std::uint32_t  left = find_policy(kind).lookahead_;
    attempt_result result = attempt_result::not_allowed;
    for (auto entry = queue.begin(); entry != queue.end() && left > 0; --left)
    {
        // A placement removes the entry from the queue.
        auto const next = std::next(entry);
        bool const late =
            kind == work_kind::request && entry->deadline_ <= context.now_;
        auto const tried =
            late ? attempt_result::not_allowed
                 : place_entry(context, round, team, kind, *entry);
        entry = next;
        if (tried == attempt_result::placed)
        {
            return tried;
        }
        result = tried == attempt_result::no_room ? tried : result;
    }
    return result;
}

// Gangs before batches: small tasks would take every hole otherwise.
constexpr std::array<work_kind, work_kind_count> kind_order = {
    work_kind::request, work_kind::service, work_kind::gang, work_kind::batch};

attempt_result place_for_team(scheduler& context, placement_round& round,
                              std::size_t team)
{
    attempt_result result = attempt_result::not_allowed;
    for (work_kind const kind : kind_order)
    {
        auto const tried = place_from_queue(context, round, team, kind);
        if (tried == attempt_result::placed)
        {
            return tried;
        }
        result = tried == attempt_result::no_room ? tried : result;
    }
    return result;
}

using scored_team = std::pair<double, std::size_t>;
using team_heap =
    std::priority_queue<scored_team, std::vector<scored_team>, std::greater<>>;

team_heap list_waiting_teams(scheduler const& context)
{
    team_heap waiting;
    for (std::size_t team = 0; team < context.teams_.index_.size(); ++team)
    {
        if (context.teams_.queued_[team] > 0 &&
            context.teams_.configured_[team] != 0)
        {
            waiting.emplace(compute_score(context, team), team);
        }
    }
    return waiting;
}

// Always serves the team with the lowest score, so that starts follow shares.
void place_for_teams(scheduler& context, placement_round& round)
{
    team_heap waiting = list_waiting_teams(context);
    while (!waiting.empty() && round.starts_ < context.settings_.tick_starts_)
    {
        std::size_t const team = waiting.top().second;
        waiting.pop();
        auto const tried = place_for_team(context, round, team);
        context.teams_.blocked_[team] =
            tried == attempt_result::no_room ? 1 : 0;
        if (tried == attempt_result::placed && context.teams_.queued_[team] > 0)
        {
            waiting.emplace(compute_score(context, team), team);
        }
    }
    if (!waiting.empty())
    {
        add_timer(context.timers_, context.now_, timer_kind::wake, {});
    }
}

} // namespace

// 5. System

namespace
{

constexpr std::int64_t ramp_step_micros = 50'000; // 1% of capacity at 20%/s

} // namespace

void place_tasks(scheduler& context)
{
    expire_reservation(context);
    bool const may_place = context.domain_.in_service_ &&
                           context.domain_.policy_known_ &&
                           context.queued_tasks_ > 0;
    if (!std::exchange(context.place_needed_, false) || !may_place)
    {
        return;
    }
    placement_round round;
    place_for_teams(context, round);
    if (round.ramp_waits_)
    {
        add_timer(context.timers_, context.now_.after(ramp_step_micros),
                  timer_kind::wake, {});
    }
}

} // namespace fescuevane::decide
