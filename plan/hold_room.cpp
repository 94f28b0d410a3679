// Purpose: system: reserves room for long-running tasks that wait for a ticket.
// A ticket needs a reply of the policy service and expires soon; without a
// reservation, other work takes the room before the reply arrives.
//
// Index of sections
//   1. Waiting tasks
//   2. Choice of targets
//   3. Reservations
//   4. Queries
#include "plan/job_flow.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"
#include "plan/room_reservations.hpp"
#include "plan/stage_rank.hpp"
#include "plan/stage_view.hpp"
#include "plan/unconfirmed_work.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace fescuevane::plan
{
namespace
{

// The capacity of a stage's allowed targets divided by this may be reserved at
// once, so that many long-running tasks leave room for other work. One task may
// always reserve its room, since it would wait forever on a few small targets.
constexpr std::int64_t share_divisor = 8;

// After this time another target is tried. Covers a reply of the policy service
// (0.5 to 1.3 s), a start and the remaining time of short runs on a busy shard.
constexpr std::int64_t reservation_micros = 4'000'000;

// A task that has waited this long keeps its room even from better-ranked work,
// which may take all room of a busy shard forever. Half of the 6 s for which a
// long-running task may be down.
constexpr std::int64_t firm_micros = 3'000'000;

// 1. Waiting tasks

struct waiting_task
{
    instant       since_;
    stage_key     stage_;
    std::uint32_t index_ = 0;

    friend auto operator<=>(waiting_task const&, waiting_task const&) = default;
};

bool may_reserve(planner const& context, stage_key const& key,
                 unconfirmed_work const& unconfirmed)
{
    stage_view const view = view_stage(context, key);
    return needs_ticket(view) &&
           !may_be_unconfirmed(unconfirmed, view.job_, view.step_) &&
           is_within_limit(context, view.job_.spec_->organisation_, key,
                           view.step_.demand_);
}

// Long-running tasks that need a ticket, longest waiting first.
std::vector<waiting_task> list_waiting_tasks(planner const& context)
{
    std::optional<unconfirmed_work> unconfirmed; // most ticks have no such task
    std::vector<waiting_task>       waiting;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        if (!stage.startable_ || count_waiting(stage) == 0)
        {
            continue;
        }
        stage_key const& key = context.stages_.key(row);
        step_spec const& step = stage.spec_->steps_[key.step_];
        if (!step.perpetual_ || step.filler_ || step.gang_)
        {
            continue;
        }
        if (!unconfirmed)
        {
            unconfirmed.emplace(find_unconfirmed_work(context));
        }
        if (!may_reserve(context, key, *unconfirmed))
        {
            continue;
        }
        for (std::uint32_t index = 0; index < stage.tasks_.size(); ++index)
        {
            task_cell const& task = stage.tasks_[index];
            if (is_waiting(task))
            {
                waiting.push_back({task.waiting_since_, key, index});
            }
        }
    }
    std::sort(waiting.begin(), waiting.end());
    return waiting;
}

// 2. Choice of targets

bool belongs_to(room_reservation const& reservation, waiting_task const& task)
{
    return reservation.tasks_ == 0 && reservation.index_ == task.index_ &&
           reservation.stage_ == task.stage_;
}

// Only targets that the policy service is known to allow: most others turn out
// to be forbidden, and room reserved there is wasted.
bool may_reserve_on(planner const& context, stage_view const& stage,
                    target_id const& id, target_row const& target)
{
    auto const ticket = stage.row_.tickets_.find(id);
    return ticket != stage.row_.tickets_.end() && ticket->second.good_ &&
           accepts_stage(context, stage, target) &&
           limit_to_spread(context, stage, id,
                           count_fitting_later(stage, target)) > 0;
}

double missing_share(std::int64_t wanted, std::int64_t free)
{
    return wanted <= 0
               ? 0
               : static_cast<double>(std::max<std::int64_t>(0, wanted - free)) /
                     static_cast<double>(wanted);
}

// Largest share of a demanded resource that the target lacks; 0: it fits now.
double find_missing(resources const& demand, target_row const& target)
{
    resources const free = target.capacity_ - target.used_;
    return std::max(
        {missing_share(demand.cpu_millis(), free.cpu_millis()),
         missing_share(demand.memory_mib(), free.memory_mib()),
         missing_share(demand.accelerators(), free.accelerators())});
}

// Smaller values are better.
struct target_choice
{
    bool        expired_here_ = false; // a reservation there has just expired
    bool        gang_ = false;         // its room is reserved for a gang
    double      missing_ = 0;
    std::size_t row_ = 0; // of the target table

    friend auto operator<=>(target_choice const&,
                            target_choice const&) = default;
};

bool was_reserved(std::vector<room_reservation> const& previous,
                  waiting_task const& task, target_id const& target)
{
    return std::any_of(previous.begin(), previous.end(),
                       [&](room_reservation const& reservation)
                       {
                           return reservation.target_ == target &&
                                  belongs_to(reservation, task);
                       });
}

std::vector<target_choice>
list_choices(planner const&                       context,
             std::vector<room_reservation> const& previous,
             waiting_task const&                  task)
{
    stage_view const stage = view_stage(context, task.stage_);
    bool const       is_firm = task.since_.after(firm_micros) <= context.now_;
    std::vector<target_choice> choices;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        target_id const&  id = context.targets_.key(row);
        if (target.held_.is_zero() &&
            may_reserve_on(context, stage, id, target))
        {
            double const missing = find_missing(stage.step_.demand_, target);
            choices.push_back({missing > 0 && was_reserved(previous, task, id),
                               target.gang_held_ && !is_firm, missing, row});
        }
    }
    std::sort(choices.begin(), choices.end());
    return choices;
}

// 3. Reservations

void clear_reservations(planner&                             context,
                        std::vector<room_reservation> const& reservations)
{
    for (room_reservation const& reservation : reservations)
    {
        if (target_row* const target =
                context.targets_.find(reservation.target_))
        {
            target->held_ = resources();
        }
    }
}

bool fits_now(planner const& context, room_reservation const& reservation)
{
    return find_missing(reservation.amount_,
                        *context.targets_.find(reservation.target_)) == 0;
}

// Keeps a task's reservation until it expires, unless another target has room
// earlier than the reserved one.
void keep_reservation(planner&                             context,
                      std::vector<room_reservation> const& previous,
                      waiting_task const&                  task)
{
    stage_view const stage = view_stage(context, task.stage_);
    auto const       reservation = std::find_if(
              previous.begin(), previous.end(),
              [&](room_reservation const& known)
              {
            target_row const* const target =
                context.targets_.find(known.target_);
            return belongs_to(known, task) && known.until_ > context.now_ &&
                   target != nullptr &&
                   may_reserve_on(context, stage, known.target_, *target);
        });
    if (reservation == previous.end())
    {
        return;
    }
    if (!fits_now(context, *reservation))
    {
        auto const choices = list_choices(context, previous, task);
        if (!choices.empty() && choices[0].missing_ == 0)
        {
            return;
        }
    }
    add_reservation(context, *reservation);
}

// True when `amount` more may be reserved on the targets that the stage may
// use.
bool is_within_share(planner const& context, stage_view const& stage,
                     resources const& amount)
{
    resources room;
    resources reserved;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        if (may_reserve_on(context, stage, context.targets_.key(row), target))
        {
            room = room + target.capacity_;
            reserved = reserved + target.held_;
        }
    }
    return reserved.is_zero() ||
           ((reserved + amount) * share_divisor).fits_in(room);
}

// False when no room can be reserved for the task.
bool choose_reservation(planner&                             context,
                        std::vector<room_reservation> const& previous,
                        waiting_task const&                  task)
{
    stage_view const stage = view_stage(context, task.stage_);
    auto const       choices = list_choices(context, previous, task);
    if (choices.empty() ||
        !is_within_share(context, stage, stage.step_.demand_))
    {
        return false;
    }
    add_reservation(context,
                    {.stage_ = task.stage_,
                     .index_ = task.index_,
                     .target_ = context.targets_.key(choices[0].row_),
                     .amount_ = stage.step_.demand_,
                     .firm_at_ = task.since_.after(firm_micros),
                     .until_ = context.now_.after(reservation_micros)});
    return true;
}

bool has_only_gang_reservations(planner const& context)
{
    return std::all_of(context.holds_.begin(), context.holds_.end(),
                       [](room_reservation const& reservation)
                       {
                           return reservation.tasks_ > 0;
                       });
}

// A long-running task may have taken room that was reserved for a gang. Then
// the gang chooses its targets again.
void keep_gang_reservations(planner&                             context,
                            std::vector<room_reservation> const& previous)
{
    for (room_reservation const& reservation : previous)
    {
        if (reservation.tasks_ == 0)
        {
            continue;
        }
        target_row const* const target =
            context.targets_.find(reservation.target_);
        if (target != nullptr && target->held_.is_zero())
        {
            add_reservation(context, reservation);
        }
        else
        {
            context.gang_check_at_ = context.now_;
        }
    }
}

bool has_reservation(planner const& context, waiting_task const& task)
{
    return std::any_of(context.holds_.begin(), context.holds_.end(),
                       [&task](room_reservation const& reservation)
                       {
                           return belongs_to(reservation, task);
                       });
}

} // namespace

void hold_room(planner& context)
{
    std::vector<waiting_task> const waiting = list_waiting_tasks(context);
    if (waiting.empty() && has_only_gang_reservations(context))
    {
        return;
    }
    std::vector<room_reservation> previous;
    previous.swap(context.holds_);
    clear_reservations(context, previous);
    for (waiting_task const& task : waiting)
    {
        keep_reservation(context, previous, task);
    }
    std::set<stage_key> unplaced_stages; // their other tasks would fail, too
    for (waiting_task const& task : waiting)
    {
        if (!unplaced_stages.contains(task.stage_) &&
            !has_reservation(context, task) &&
            !choose_reservation(context, previous, task))
        {
            unplaced_stages.insert(task.stage_);
        }
    }
    for (room_reservation const& reservation : context.holds_)
    {
        wake_at(context, reservation.until_);
    }
    keep_gang_reservations(context, previous);
}

// 4. Queries

namespace
{

// A long-running task may be down for 6 s only, so after `firm_micros` it may
// use room that is reserved for a gang.
bool has_urgent_task(planner const& context, stage_key const& key)
{
    stage_row const& stage = *context.stages_.find(key);
    return find_step(context, key).perpetual_ &&
           std::any_of(stage.tasks_.begin(), stage.tasks_.end(),
                       [&context](task_cell const& task)
                       {
                           return is_waiting(task) &&
                                  task.waiting_since_.after(firm_micros) <=
                                      context.now_;
                       });
}

bool binds(planner const& context, room_reservation const& reservation,
           stage_key const& stage)
{
    if (reservation.tasks_ > 0)
    {
        return reservation.stage_ != stage && !has_urgent_task(context, stage);
    }
    return reservation.stage_ != stage &&
           (reservation.firm_at_ <= context.now_ ||
            rank_stage(context, reservation.stage_) <
                rank_stage(context, stage));
}

} // namespace

resources find_free_room(planner const& context, stage_key const& stage,
                         target_row const& target)
{
    resources const free = target.capacity_ - target.used_;
    if (target.held_.is_zero())
    {
        return free;
    }
    bool const is_bound = binds(context, context.holds_[target.hold_], stage);
    // While runs end one after another, more may be reserved than is free.
    return is_bound ? max(resources(), free - target.held_) : free;
}

void add_reservation(planner& context, room_reservation const& reservation)
{
    if (target_row* const target = context.targets_.find(reservation.target_))
    {
        target->held_ = reservation.amount_;
        target->hold_ = context.holds_.size();
        target->gang_held_ = reservation.tasks_ > 0;
        context.holds_.push_back(reservation);
    }
}

std::int64_t count_reservations(planner const& context, stage_key const& stage)
{
    return std::count_if(context.holds_.begin(), context.holds_.end(),
                         [&stage](room_reservation const& reservation)
                         {
                             return reservation.stage_ == stage;
                         });
}

void release_reservations(planner& context, stage_key const& stage)
{
    std::vector<room_reservation> previous;
    previous.swap(context.holds_);
    clear_reservations(context, previous);
    stage_row const* const row = context.stages_.find(stage);
    for (room_reservation const& reservation : previous)
    {
        if (reservation.stage_ != stage ||
            (row != nullptr && is_waiting(row->tasks_[reservation.index_])))
        {
            add_reservation(context, reservation);
        }
    }
}

void release_gang_reservations(planner& context)
{
    std::vector<room_reservation> previous;
    previous.swap(context.holds_);
    clear_reservations(context, previous);
    for (room_reservation const& reservation : previous)
    {
        if (reservation.tasks_ == 0)
        {
            add_reservation(context, reservation);
        }
        else if (target_row* const target =
                     context.targets_.find(reservation.target_))
        {
            target->gang_held_ = false;
        }
    }
}

} // namespace fescuevane::plan
