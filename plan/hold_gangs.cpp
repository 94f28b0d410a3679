// Purpose: system: reserves room for gangs that have waited long, until there
// is room for all tasks. A gang needs room, tickets and capacity within limits
// for all its tasks at the same time, while single tasks take room as it
// becomes free.
//
// Index of sections
//   1. Waiting gangs
//   2. Choice of targets
//   3. Reservations
#include "plan/job_flow.hpp"
#include "plan/parts.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"
#include "plan/room_reservations.hpp"
#include "plan/run_remaining.hpp"
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

// Most gangs start earlier; only those that wait longer make other work wait.
// Parts of gangs reserve at once, since the other parts wait for them.
constexpr std::int64_t reserve_after_micros = 3'000'000;

// Long enough for runs of other work to end and for a reply of the policy
// service. After a reservation without a start, other work has the room for as
// long, and twice as long after each further one, since some gangs never start.
constexpr std::int64_t  gang_reservation_micros = 15'000'000;
constexpr std::uint32_t max_doublings = 4;

// Gangs together may reserve the shard's capacity divided by this. The oldest
// gang may reserve more, since it would wait forever in a small shard.
constexpr std::int64_t share_divisor = 4;

// Gangs whose room is free may reserve up to the free room divided by this, if
// that is more: parts would wait beside it for older gangs that lack room.
constexpr std::int64_t free_divisor = 2;

// Between choices of targets, which scan all runs on the allowed targets.
constexpr std::int64_t check_interval_micros = 100'000;

// 1. Waiting gangs

// Sorted in the same order on all shards, so that parts of two gangs never wait
// for each other.
struct waiting_gang
{
    std::int64_t accepted_unix_ms_ = 0;
    stage_key    origin_; // at its first shard, if it was handed over
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

// Time from which the stage may reserve room. A gang that was handed over, was
// divided, or has run before has waited before.
instant find_reservation_time(stage_row const& stage)
{
    if (stage.part_ != part_phase::none || stage.spec_->alias_ ||
        stage.gang_run_ != 0)
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

// True while the stage's claim is active. Its allotment arrives while its room
// becomes free, so the room is reserved from the start of the active claim.
bool has_active_claim(planner const& context, stage_view const& stage)
{
    claim_row const* const claim =
        context.claims_.find(stage.job_.spec_->organisation_);
    return claim != nullptr && claim->granted_ && claim->stage_ == stage.key_ &&
           claim->granted_at_ <= context.now_;
}

// True when its claim became active after the latest reservation expired.
bool has_new_active_claim(planner const& context, stage_view const& stage)
{
    return has_active_claim(context, stage) &&
           context.claims_.find(stage.job_.spec_->organisation_)->granted_at_ >
               stage.row_.hold_ended_at_;
}

bool may_reserve(planner& context, stage_view const& stage)
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
    std::optional<unconfirmed_work> unconfirmed; // most ticks have no such gang
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
        if (!unconfirmed)
        {
            unconfirmed.emplace(find_unconfirmed_work(context));
        }
        stage_view const view = view_stage(context, key);
        if (!may_be_unconfirmed(*unconfirmed, view.job_, step) &&
            may_reserve(context, view))
        {
            auto const& alias = stage.spec_->alias_;
            gangs.push_back({stage.spec_->accepted_unix_ms_,
                             alias ? alias->stage_ : key, key});
        }
    }
    std::sort(gangs.begin(), gangs.end());
    return gangs;
}

// 2. Choice of targets

// Room for one task on a target. Smaller values are better.
struct slot
{
    enum class state : std::uint8_t
    {
        reserved_free, // reserved before, has room
        free,          // has room
        reserved,      // reserved before, has room later
        taken
    };

    state       state_ = state::taken;
    double      ready_ms_ = 0; // time until there is room
    std::size_t row_ = 0;      // of the target table

    friend auto operator<=>(slot const&, slot const&) = default;
};

using reserved_tasks = std::map<target_id, std::int64_t>;

std::int64_t count_reserved(reserved_tasks const& previous,
                            target_id const&      target)
{
    auto const reserved = previous.find(target);
    return reserved == previous.end() ? 0 : reserved->second;
}

// Counts only targets that the policy service is known to allow, see decision
// 0013.
std::int64_t count_slots(planner const& context, stage_view const& stage,
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

// True when there is room for all tasks now.
bool has_free_slots(planner const& context, stage_view const& stage)
{
    std::int64_t missing = stage.step_.count_;
    for (std::size_t row = 0; row < context.targets_.size() && missing > 0;
         ++row)
    {
        if (count_slots(context, stage, row) > 0)
        {
            missing -=
                count_startable(context, stage, context.targets_.key(row),
                                context.targets_[row]);
        }
    }
    return missing <= 0;
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
    if (auto const own = estimate_remaining_by_progress_ms(context, run))
    {
        return std::max<double>(0, *own);
    }
    if (!context.stages_.contains(stage))
    {
        return 0; // its job has ended, so it is being stopped
    }
    return std::max<double>(0, expect_run_ms(context, stage) -
                                   elapsed_run_ms(context, run));
}

std::vector<run_end_time> list_end_times(planner const&   context,
                                         target_id const& id)
{
    std::vector<run_end_time> end_times;
    for (std::size_t const row : context.runs_.on_target(id))
    {
        if (!context.runs_[row].lasting_)
        {
            end_times.push_back({find_rest_ms(context, row), row});
        }
    }
    std::sort(end_times.begin(), end_times.end());
    return end_times;
}

// Appends the slots of one target.
void append_slots(planner const& context, stage_view const& stage,
                  std::size_t row, std::int64_t count, std::int64_t reserved,
                  std::vector<slot>& slots)
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
            bool const was_reserved = found < reserved;
            slots.push_back({is_free
                                 ? (was_reserved ? slot::state::reserved_free
                                                 : slot::state::free)
                                 : (was_reserved ? slot::state::reserved
                                                 : slot::state::taken),
                             ready_ms, row});
        }
    };
    append(0, true);
    if (found == count)
    {
        return;
    }
    double last = 0;
    for (run_end_time const& end : list_end_times(context, id))
    {
        run_row const& run = context.runs_[end.row_];
        room = room + charged_resources(run.demand_, run.filler_);
        last = end.rest_ms_;
        append(last, false);
    }
    // Runs of unknown jobs use capacity but aren't in the run table.
    room = target.capacity_ - target.lasting_;
    append(last, false);
}

// The best slots for all tasks; empty when there are too few.
std::vector<slot> choose_slots(planner const& context, stage_view const& stage,
                               reserved_tasks const& previous)
{
    std::vector<std::int64_t> counts;
    std::int64_t              total = 0;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        counts.push_back(count_slots(context, stage, row));
        total += counts.back();
    }
    std::size_t const needed = stage.step_.count_;
    std::vector<slot> slots;
    if (total < static_cast<std::int64_t>(needed))
    {
        return slots;
    }
    for (std::size_t row = 0; row < counts.size(); ++row)
    {
        if (counts[row] > 0)
        {
            append_slots(context, stage, row, counts[row],
                         count_reserved(previous, context.targets_.key(row)),
                         slots);
        }
    }
    std::sort(slots.begin(), slots.end());
    slots.resize(std::min(needed, slots.size()));
    return slots.size() < needed ? std::vector<slot>() : slots;
}

// 3. Reservations

std::map<stage_key, reserved_tasks> list_reserved_tasks(planner const& context)
{
    std::map<stage_key, reserved_tasks> reserved;
    for (room_reservation const& reservation : context.holds_)
    {
        if (reservation.tasks_ > 0)
        {
            reserved[reservation.stage_][reservation.target_] =
                reservation.tasks_;
        }
    }
    return reserved;
}

void reserve_slots(planner& context, stage_key const& key,
                   std::vector<slot> const& slots)
{
    stage_row&      stage = *context.stages_.find(key);
    resources const demand = required_room(find_step(context, key));
    std::map<std::size_t, std::int64_t> tasks; // by row of the target table
    double                              ready_ms = 0;
    for (slot const& at : slots)
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

// The gang keeps waiting, and other work may use the room until `hold_after_`.
void expire_reservation(planner& context, stage_row& stage)
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

struct shard_room
{
    resources capacity_;
    resources free_;
};

shard_room count_shard_room(planner const& context)
{
    shard_room room;
    for (target_row const& target : context.targets_)
    {
        if (target.phase_ == target_phase::usable)
        {
            room.capacity_ = room.capacity_ + target.capacity_;
            room.free_ = room.free_ + target.capacity_ - target.used_;
        }
    }
    return room;
}

bool is_within_share(planner const& context, stage_view const& stage,
                     resources const& reserved, shard_room const& room)
{
    return (reserved * share_divisor).fits_in(room.capacity_) ||
           ((reserved * free_divisor).fits_in(room.free_) &&
            has_free_slots(context, stage));
}

// Sets or checks the expiry of the stage's reservation. False when it has
// expired.
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
    expire_reservation(context, stage);
    return false;
}

// Older gangs choose first, including room that was reserved for younger ones.
// One that exceeds the share doesn't keep younger ones from less.
void choose_reservations(planner&                                   context,
                         std::map<stage_key, reserved_tasks> const& previous)
{
    static reserved_tasks const none;
    shard_room const            room = count_shard_room(context);
    resources                   reserved;
    for (waiting_gang const& gang : list_waiting_gangs(context))
    {
        stage_key const& key = gang.stage_;
        stage_view const stage = view_stage(context, key);
        resources const  demand =
            required_room(stage.step_) * stage.step_.count_;
        if (!reserved.is_zero() &&
            !is_within_share(context, stage, reserved + demand, room))
        {
            continue;
        }
        auto const              own = previous.find(key);
        std::vector<slot> const slots = choose_slots(
            context, stage, own == previous.end() ? none : own->second);
        if (!slots.empty() &&
            keep_reserving(context, *context.stages_.find(key)))
        {
            reserve_slots(context, key, slots);
            context.holding_gangs_.push_back(key);
            reserved = reserved + demand;
        }
    }
}

// True when a gang no longer needs its reservation, or it has expired.
bool has_ended(planner const& context, stage_key const& key)
{
    stage_row const* const stage = context.stages_.find(key);
    return stage == nullptr || stage->hold_until_ <= context.now_ ||
           !all_tasks_wait(context, *stage);
}

// True when the target of a gang's reservation was removed, or was removed and
// added again.
bool is_lost(planner const& context, room_reservation const& reservation)
{
    target_row const* const target = context.targets_.find(reservation.target_);
    return reservation.tasks_ > 0 &&
           (target == nullptr || target->held_.is_zero());
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
                       [&context](room_reservation const& reservation)
                       {
                           return is_lost(context, reservation);
                       });
}

} // namespace

void hold_gangs(planner& context)
{
    if (context.gang_check_at_ > context.now_ && !is_outdated(context))
    {
        wake_at(context, context.gang_check_at_);
        return;
    }
    std::map<stage_key, reserved_tasks> const previous =
        list_reserved_tasks(context);
    release_gang_reservations(context);
    std::vector<stage_key> const reserving =
        std::exchange(context.holding_gangs_, {});
    choose_reservations(context, previous);
    for (stage_key const& key : reserving)
    {
        auto const&      now = context.holding_gangs_;
        stage_row* const stage = context.stages_.find(key);
        if (stage != nullptr &&
            std::find(now.begin(), now.end(), key) == now.end())
        {
            clear_reservation(*stage);
        }
    }
    context.gang_check_at_ = context.now_.after(check_interval_micros);
    if (!context.holding_gangs_.empty())
    {
        wake_at(context, context.gang_check_at_);
    }
}

} // namespace fescuevane::plan
