// Purpose: system: holds room for gangs that have waited long until all of it
// is there. A gang needs room, tickets and its part of a limit for all tasks at
// one moment, while single tasks take each bit of room as it comes free.
//
// Index of sections
//   1. Gangs that wait
//   2. Choice of places
//   3. The table
#include "plan/job_flow.hpp"
#include "plan/parts.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"
#include "plan/room_reservations.hpp"
#include "plan/run_rest.hpp"
#include "plan/stage_view.hpp"
#include "plan/unconfirmed_work.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace fescuevane::plan
{
namespace
{

// Most gangs start before; only what waits longer makes other work wait. Parts
// of gangs hold at once, since the other parts wait for them.
constexpr std::int64_t reserve_after_micros = 3'000'000;

// Long enough for runs of other work to end and for an answer of the policy
// service. After a hold without a start others have as long, and twice as long
// after each further one: some gangs never start.
constexpr std::int64_t  gang_reservation_micros = 15'000'000;
constexpr std::uint32_t max_doublings = 4;

// Part of the shard that may be held for gangs at once. The oldest one may hold
// more, since it would wait without end in a small shard.
constexpr std::int64_t share_divisor = 4;

// Between choices of places, which look at all runs of the allowed targets.
constexpr std::int64_t check_interval_micros = 100'000;

// 1. Gangs that wait

// The same order in all shards, so that parts of two gangs never wait for each
// other.
struct waiting_gang
{
    std::int64_t accepted_unix_ms_ = 0;
    stage_key    origin_; // of a gang that was handed on
    stage_key    stage_;

    friend auto operator<=>(waiting_gang const&, waiting_gang const&) = default;
};

bool all_tasks_wait(planner const& context, stage_row const& stage)
{
    return stage.startable_ &&
           (stage.part_ == part_phase::none ||
            stage.part_ == part_phase::gathering ||
            stage.part_ == part_phase::ordered) &&
           std::all_of(stage.tasks_.begin(), stage.tasks_.end(),
                       [&context](task_cell const& task)
                       {
                           return is_waiting(task) &&
                                  task.ready_at_ <= context.now_;
                       });
}

// Since when the stage may hold room.
instant find_reservation_time(stage_row const& stage)
{
    if (stage.part_ != part_phase::none)
    {
        return instant();
    }
    instant latest;
    for (task_cell const& task : stage.tasks_)
    {
        latest =
            std::max(latest, task.waiting_since_.after(reserve_after_micros));
    }
    return latest;
}

// True in the turn of the stage's claim. Its part of the limit arrives while
// its room comes free, so the room is held from the begin of the turn.
bool has_active_claim(planner const& context, stage_view const& stage)
{
    claim_row const* const claim =
        context.claims_.find(stage.job_.spec_->organisation_);
    return claim != nullptr && claim->granted_ && claim->stage_ == stage.key_ &&
           claim->granted_at_ <= context.now_;
}

// True when a turn has begun since the latest hold ended.
bool has_new_active_claim(planner const& context, stage_view const& stage)
{
    return has_active_claim(context, stage) &&
           context.claims_.find(stage.job_.spec_->organisation_)->granted_at_ >
               stage.row_.hold_ended_at_;
}

bool may_hold(planner& context, stage_view const& stage)
{
    stage_row const& row = stage.row_;
    instant const    since = find_reservation_time(row);
    if (since > context.now_)
    {
        wake_at(context, since);
        return false;
    }
    if (row.hold_after_ > context.now_ && !has_new_active_claim(context, stage))
    {
        wake_at(context, row.hold_after_);
        return false;
    }
    return has_active_claim(context, stage) ||
           is_within_limit(context, stage.job_.spec_->organisation_, stage.key_,
                           stage.step_.demand_ * stage.step_.count_);
}

// Oldest first.
std::vector<waiting_gang> list_waiting_gangs(planner& context)
{
    std::optional<unconfirmed_work> unseen; // most ticks have no such gang
    std::vector<waiting_gang>       gangs;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        stage_key const& key = context.stages_.key(row);
        step_spec const& step = stage.spec_->steps_[key.step_];
        if (!step.gang_ || !all_tasks_wait(context, stage) ||
            context.offers_.contains(key.job_))
        {
            continue;
        }
        if (!unseen)
        {
            unseen.emplace(find_unconfirmed_work(context));
        }
        stage_view const view = view_stage(context, key);
        if (!may_be_unconfirmed(*unseen, view.job_, step) &&
            may_hold(context, view))
        {
            auto const& alias = stage.spec_->alias_;
            gangs.push_back({stage.spec_->accepted_unix_ms_,
                             alias ? alias->stage_ : key, key});
        }
    }
    std::sort(gangs.begin(), gangs.end());
    return gangs;
}

// 2. Choice of places

// Room for one task. Less is better.
struct place
{
    enum class state : std::uint8_t
    {
        held_free, // held before, with room
        free,      // with room
        held,      // held before, room comes later
        taken
    };

    state       state_ = state::taken;
    double      ready_ms_ = 0; // until there is room
    std::size_t row_ = 0;      // of the target table

    friend auto operator<=>(place const&, place const&) = default;
};

using reserved_tasks = std::map<target_id, std::int64_t>;

std::int64_t count_reserved(reserved_tasks const& before,
                            target_id const&      target)
{
    auto const held = before.find(target);
    return held == before.end() ? 0 : held->second;
}

// Only targets that the policy service is known to allow, see decision 0013.
std::int64_t count_places(planner const& context, stage_view const& stage,
                          std::size_t row)
{
    target_row const& target = context.targets_[row];
    target_id const&  id = context.targets_.key(row);
    if (!target.held_.is_zero() || !accepts_stage(context, stage, target))
    {
        return 0;
    }
    if (needs_ticket(stage))
    {
        auto const ticket = stage.row_.tickets_.find(id);
        if (ticket == stage.row_.tickets_.end() || !ticket->second.good_)
        {
            return 0;
        }
    }
    return std::min<std::int64_t>(
        stage.step_.count_,
        limit_to_spread(context, stage, id,
                        count_fitting_later(stage, target)));
}

struct run_end_time
{
    double      rest_ms_ = 0;
    std::size_t row_ = 0; // of the run table

    friend auto operator<=>(run_end_time const&, run_end_time const&) = default;
};

double find_rest_ms(planner const& context, std::size_t row)
{
    run_row const&   run = context.runs_[row];
    stage_key const& stage = context.runs_.key(row).stage_;
    if (auto const known = find_rest_by_progress_ms(context, run))
    {
        return std::max<double>(0, *known);
    }
    if (!context.stages_.contains(stage))
    {
        return 0; // its job has ended, so it is being stopped
    }
    return std::max<double>(0, expect_run_ms(context, stage) -
                                   count_ran_ms(context, run));
}

std::vector<run_end_time> list_ends(planner const& context, target_id const& id)
{
    std::vector<run_end_time> ends;
    for (std::size_t const row : context.runs_.on_target(id))
    {
        if (!context.runs_[row].lasting_)
        {
            ends.push_back({find_rest_ms(context, row), row});
        }
    }
    std::sort(ends.begin(), ends.end());
    return ends;
}

// Appends the places of one target.
void append_places(planner const& context, stage_view const& stage,
                   std::size_t row, std::int64_t count, std::int64_t held,
                   std::vector<place>& places)
{
    target_row const& target = context.targets_[row];
    target_id const&  id = context.targets_.key(row);
    resources         room = target.capacity_ - target.used_;
    std::int64_t      found = 0;
    auto const        append = [&](double ready_ms, bool is_free)
    {
        std::int64_t const fitting = std::min(
            count,
            limit_to_spread(context, stage, id,
                            count_fitting_in(stage.step_, target, room)));
        for (; found < fitting; ++found)
        {
            bool const was_reserved = found < held;
            places.push_back({is_free ? (was_reserved ? place::state::held_free
                                                      : place::state::free)
                                      : (was_reserved ? place::state::held
                                                      : place::state::taken),
                              ready_ms, row});
        }
    };
    append(0, true);
    if (found == count)
    {
        return;
    }
    double last = 0;
    for (run_end_time const& end : list_ends(context, id))
    {
        run_row const& run = context.runs_[end.row_];
        room = room + charged_resources(run.demand_, run.filler_);
        last = end.rest_ms_;
        append(last, false);
    }
    // What runs of unknown jobs use isn't in the run table.
    room = target.capacity_ - target.lasting_;
    append(last, false);
}

// The best places for all tasks; none when there are too few.
std::vector<place> choose_places(planner const&        context,
                                 stage_view const&     stage,
                                 reserved_tasks const& before)
{
    std::vector<std::int64_t> counts;
    std::int64_t              total = 0;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        counts.push_back(count_places(context, stage, row));
        total += counts.back();
    }
    std::size_t const  needed = stage.step_.count_;
    std::vector<place> places;
    if (total < static_cast<std::int64_t>(needed))
    {
        return places;
    }
    for (std::size_t row = 0; row < counts.size(); ++row)
    {
        if (counts[row] > 0)
        {
            append_places(context, stage, row, counts[row],
                          count_reserved(before, context.targets_.key(row)),
                          places);
        }
    }
    std::sort(places.begin(), places.end());
    places.resize(std::min(needed, places.size()));
    return places.size() < needed ? std::vector<place>() : places;
}

// 3. The table

std::map<stage_key, reserved_tasks> list_reserved_tasks(planner const& context)
{
    std::map<stage_key, reserved_tasks> held;
    for (room_reservation const& hold : context.holds_)
    {
        if (hold.tasks_ > 0)
        {
            held[hold.stage_][hold.target_] = hold.tasks_;
        }
    }
    return held;
}

void reserve_places(planner& context, stage_key const& key,
                    std::vector<place> const& places)
{
    stage_row&      stage = *context.stages_.find(key);
    resources const demand = required_room(find_step(context, key));
    std::map<std::size_t, std::int64_t> tasks; // by row of the target table
    double                              ready_ms = 0;
    for (place const& at : places)
    {
        ++tasks[at.row_];
        ready_ms = std::max(ready_ms, at.ready_ms_);
    }
    for (auto const& [row, count] : tasks)
    {
        add_reservation(context, {.stage_ = key,
                                  .tasks_ = count,
                                  .target_ = context.targets_.key(row),
                                  .amount_ = demand * count,
                                  .firm_at_ = context.now_,
                                  .until_ = stage.hold_until_});
    }
    stage.room_at_ = context.now_.after(
        static_cast<std::int64_t>(ready_ms * micros_per_milli));
}

// The gang goes on waiting, and other work has the room for a while.
void end_hold(planner& context, stage_row& stage)
{
    stage.hold_ended_at_ = context.now_;
    stage.hold_after_ = context.now_.after(
        gang_reservation_micros << std::min(stage.holds_ended_, max_doublings));
    ++stage.holds_ended_;
    wake_at(context, stage.hold_after_);
}

void clear_reservation(stage_row& stage)
{
    stage.hold_until_ = instant::never();
    stage.room_at_ = instant::never();
}

resources count_capacity(planner const& context)
{
    resources capacity;
    for (target_row const& target : context.targets_)
    {
        if (target.phase_ == target_phase::usable)
        {
            capacity = capacity + target.capacity_;
        }
    }
    return capacity;
}

// False when the hold of the stage ends here.
bool keep_reserving(planner& context, stage_row& stage)
{
    if (stage.part_ != part_phase::none)
    {
        stage.hold_until_ = stage.part_until_;
        return true;
    }
    if (stage.hold_until_ == instant::never())
    {
        stage.hold_until_ = context.now_.after(gang_reservation_micros);
    }
    if (stage.hold_until_ > context.now_)
    {
        return true;
    }
    end_hold(context, stage);
    return false;
}

// Older gangs choose first, also what younger ones held.
void choose_reservations(planner&                                   context,
                         std::map<stage_key, reserved_tasks> const& before)
{
    static reserved_tasks const none;
    resources const             capacity = count_capacity(context);
    resources                   held;
    for (waiting_gang const& gang : list_waiting_gangs(context))
    {
        stage_key const& key = gang.stage_;
        stage_view const stage = view_stage(context, key);
        resources const  demand =
            required_room(stage.step_) * stage.step_.count_;
        if (!held.is_zero() &&
            !((held + demand) * share_divisor).fits_in(capacity))
        {
            return;
        }
        auto const               known = before.find(key);
        std::vector<place> const places = choose_places(
            context, stage, known == before.end() ? none : known->second);
        if (!places.empty() &&
            keep_reserving(context, *context.stages_.find(key)))
        {
            reserve_places(context, key, places);
            context.holding_gangs_.push_back(key);
            held = held + demand;
        }
    }
}

// True when a gang needs its held room no more.
bool has_ended(planner const& context, stage_key const& key)
{
    stage_row const* const stage = context.stages_.find(key);
    return stage == nullptr || stage->hold_until_ <= context.now_ ||
           !all_tasks_wait(context, *stage);
}

// True when the target of a gang's hold has gone away, or has come back.
bool is_lost(planner const& context, room_reservation const& hold)
{
    target_row const* const target = context.targets_.find(hold.target_);
    return hold.tasks_ > 0 && (target == nullptr || target->held_.is_zero());
}

bool is_outdated(planner const& context)
{
    return std::any_of(context.holding_gangs_.begin(),
                       context.holding_gangs_.end(),
                       [&context](stage_key const& key)
                       {
                           return has_ended(context, key);
                       }) ||
           std::any_of(context.holds_.begin(), context.holds_.end(),
                       [&context](room_reservation const& hold)
                       {
                           return is_lost(context, hold);
                       });
}

} // namespace

void hold_gangs(planner& context)
{
    if (context.gang_look_at_ > context.now_ && !is_outdated(context))
    {
        wake_at(context, context.gang_look_at_);
        return;
    }
    std::map<stage_key, reserved_tasks> const before =
        list_reserved_tasks(context);
    release_gang_reservations(context);
    std::vector<stage_key> const holding =
        std::exchange(context.holding_gangs_, {});
    choose_reservations(context, before);
    for (stage_key const& key : holding)
    {
        auto const&      now = context.holding_gangs_;
        stage_row* const stage = context.stages_.find(key);
        if (stage != nullptr &&
            std::find(now.begin(), now.end(), key) == now.end())
        {
            clear_reservation(*stage);
        }
    }
    context.gang_look_at_ = context.now_.after(check_interval_micros);
    if (!context.holding_gangs_.empty())
    {
        wake_at(context, context.gang_look_at_);
    }
}

} // namespace fescuevane::plan
