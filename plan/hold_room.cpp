// Purpose: system: holds room for lasting tasks that wait for a ticket. A
// ticket takes an answer of the policy service and expires soon; without a
// hold other work takes the room while the answer is awaited.
//
// Index of sections
//   1. Tasks that wait
//   2. Choice of targets
//   3. The table
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

// Part of the room of a stage's allowed targets that may be held at once, so
// that a flood of lasting tasks leaves room to other work. One task may always
// hold its room, since it would wait without end on a few small targets.
constexpr std::int64_t share_divisor = 8;

// Then another target is tried. Covers an answer (0.5 to 1.3 s), a start and
// the rest of the short runs of a busy shard.
constexpr std::int64_t reservation_micros = 4'000'000;

// A task that has waited this long keeps its room also from better-ranked work,
// which may take all room of a busy shard without end. Half of the 6 s for
// which a lasting task may be down.
constexpr std::int64_t firm_micros = 3'000'000;

// 1. Tasks that wait

struct waiting_task
{
    instant       since_;
    stage_key     stage_;
    std::uint32_t index_ = 0;

    friend auto operator<=>(waiting_task const&, waiting_task const&) = default;
};

bool may_hold(planner const& context, stage_key const& key,
              unconfirmed_work const& unseen)
{
    stage_view const view = view_stage(context, key);
    return needs_ticket(view) &&
           !may_be_unconfirmed(unseen, view.job_, view.step_) &&
           is_within_limit(context, view.job_.spec_->organisation_, key,
                           view.step_.demand_);
}

// Lasting tasks that need a ticket, those that have waited longest first.
std::vector<waiting_task> list_waiting_tasks(planner const& context)
{
    std::optional<unconfirmed_work> unseen; // most ticks have no such task
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
        if (!unseen)
        {
            unseen.emplace(find_unconfirmed_work(context));
        }
        if (!may_hold(context, key, *unseen))
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

bool belongs_to(room_reservation const& hold, waiting_task const& task)
{
    return hold.tasks_ == 0 && hold.index_ == task.index_ &&
           hold.stage_ == task.stage_;
}

// Only targets that the policy service is known to allow: of others, most
// turn out to be forbidden, and room held there is lost.
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

// The part of the demand that the target lacks; 0: it fits now.
double find_missing(resources const& demand, target_row const& target)
{
    resources const free = target.capacity_ - target.used_;
    return std::max(
        {missing_share(demand.cpu_millis(), free.cpu_millis()),
         missing_share(demand.memory_mib(), free.memory_mib()),
         missing_share(demand.accelerators(), free.accelerators())});
}

// Less is better.
struct target_choice
{
    bool        tried_ = false; // a hold there has just ended
    bool        gang_ = false;  // its room is held for a gang
    double      missing_ = 0;
    std::size_t row_ = 0; // of the target table

    friend auto operator<=>(target_choice const&,
                            target_choice const&) = default;
};

bool was_reserved(std::vector<room_reservation> const& before,
                  waiting_task const& task, target_id const& target)
{
    return std::any_of(before.begin(), before.end(),
                       [&](room_reservation const& hold)
                       {
                           return hold.target_ == target &&
                                  belongs_to(hold, task);
                       });
}

std::vector<target_choice>
list_choices(planner const&                       context,
             std::vector<room_reservation> const& before,
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
            choices.push_back({missing > 0 && was_reserved(before, task, id),
                               target.gang_held_ && !is_firm, missing, row});
        }
    }
    std::sort(choices.begin(), choices.end());
    return choices;
}

// 3. The table

void clear_reservations(planner&                             context,
                        std::vector<room_reservation> const& holds)
{
    for (room_reservation const& hold : holds)
    {
        if (target_row* const target = context.targets_.find(hold.target_))
        {
            target->held_ = resources();
        }
    }
}

bool fits_now(planner const& context, room_reservation const& hold)
{
    return find_missing(hold.amount_, *context.targets_.find(hold.target_)) ==
           0;
}

// Keeps the hold of a task while it goes on, unless another target has room
// before the held one.
void keep_reservation(planner&                             context,
                      std::vector<room_reservation> const& before,
                      waiting_task const&                  task)
{
    stage_view const stage = view_stage(context, task.stage_);
    auto const       hold = std::find_if(
              before.begin(), before.end(),
              [&](room_reservation const& known)
              {
            target_row const* const target =
                context.targets_.find(known.target_);
            return belongs_to(known, task) && known.until_ > context.now_ &&
                   target != nullptr &&
                   may_reserve_on(context, stage, known.target_, *target);
        });
    if (hold == before.end())
    {
        return;
    }
    if (!fits_now(context, *hold))
    {
        auto const choices = list_choices(context, before, task);
        if (!choices.empty() && choices[0].missing_ == 0)
        {
            return;
        }
    }
    add_reservation(context, *hold);
}

// True when `amount` more may be held on the targets that the stage may use.
bool is_within_share(planner const& context, stage_view const& stage,
                     resources const& amount)
{
    resources room;
    resources held;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        if (may_reserve_on(context, stage, context.targets_.key(row), target))
        {
            room = room + target.capacity_;
            held = held + target.held_;
        }
    }
    return held.is_zero() || ((held + amount) * share_divisor).fits_in(room);
}

// False when no room may be held for the task.
bool choose_reservation(planner&                             context,
                        std::vector<room_reservation> const& before,
                        waiting_task const&                  task)
{
    stage_view const stage = view_stage(context, task.stage_);
    auto const       choices = list_choices(context, before, task);
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
                       [](room_reservation const& hold)
                       {
                           return hold.tasks_ > 0;
                       });
}

// A lasting task may have taken what was held for a gang, which then needs
// another place.
void keep_gang_reservations(planner&                             context,
                            std::vector<room_reservation> const& before)
{
    for (room_reservation const& hold : before)
    {
        if (hold.tasks_ == 0)
        {
            continue;
        }
        target_row const* const target = context.targets_.find(hold.target_);
        if (target != nullptr && target->held_.is_zero())
        {
            add_reservation(context, hold);
        }
        else
        {
            context.gang_look_at_ = context.now_;
        }
    }
}

bool has_reservation(planner const& context, waiting_task const& task)
{
    return std::any_of(context.holds_.begin(), context.holds_.end(),
                       [&task](room_reservation const& hold)
                       {
                           return belongs_to(hold, task);
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
    std::vector<room_reservation> before;
    before.swap(context.holds_);
    clear_reservations(context, before);
    for (waiting_task const& task : waiting)
    {
        keep_reservation(context, before, task);
    }
    std::set<stage_key> lacking; // their other tasks need the same room
    for (waiting_task const& task : waiting)
    {
        if (!lacking.contains(task.stage_) && !has_reservation(context, task) &&
            !choose_reservation(context, before, task))
        {
            lacking.insert(task.stage_);
        }
    }
    for (room_reservation const& hold : context.holds_)
    {
        wake_at(context, hold.until_);
    }
    keep_gang_reservations(context, before);
}

// 4. Queries

namespace
{

// A lasting task may be down for 6 s only, so room that is held for a gang is
// left to it in time.
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

bool binds(planner const& context, room_reservation const& hold,
           stage_key const& stage)
{
    if (hold.tasks_ > 0)
    {
        return hold.stage_ != stage && !has_urgent_task(context, stage);
    }
    return hold.stage_ != stage &&
           (hold.firm_at_ <= context.now_ ||
            rank_stage(context, hold.stage_) < rank_stage(context, stage));
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
    // While runs end one after another, more is held than is free.
    return is_bound ? max(resources(), free - target.held_) : free;
}

void add_reservation(planner& context, room_reservation const& hold)
{
    if (target_row* const target = context.targets_.find(hold.target_))
    {
        target->held_ = hold.amount_;
        target->hold_ = context.holds_.size();
        target->gang_held_ = hold.tasks_ > 0;
        context.holds_.push_back(hold);
    }
}

std::int64_t count_reservations(planner const& context, stage_key const& stage)
{
    return std::count_if(context.holds_.begin(), context.holds_.end(),
                         [&stage](room_reservation const& hold)
                         {
                             return hold.stage_ == stage;
                         });
}

void release_reservations(planner& context, stage_key const& stage)
{
    std::vector<room_reservation> before;
    before.swap(context.holds_);
    clear_reservations(context, before);
    stage_row const* const row = context.stages_.find(stage);
    for (room_reservation const& hold : before)
    {
        if (hold.stage_ != stage ||
            (row != nullptr && is_waiting(row->tasks_[hold.index_])))
        {
            add_reservation(context, hold);
        }
    }
}

void release_gang_reservations(planner& context)
{
    std::vector<room_reservation> before;
    before.swap(context.holds_);
    clear_reservations(context, before);
    for (room_reservation const& hold : before)
    {
        if (hold.tasks_ == 0)
        {
            add_reservation(context, hold);
        }
        else if (target_row* const target = context.targets_.find(hold.target_))
        {
            target->gang_held_ = false;
        }
    }
}

} // namespace fescuevane::plan
