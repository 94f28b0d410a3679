// Purpose: targets that a request to the policy service may name.
#include "plan/request_targets.hpp"

#include "plan/job_flow.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"
#include "plan/room_reservations.hpp"
#include "plan/stage_view.hpp"

#include <algorithm>
#include <tuple>

namespace fescuevane::plan
{
namespace
{

// Targets with valid tickets first, then those with the most room.
void sort_candidates(std::vector<candidate>& candidates)
{
    std::sort(candidates.begin(), candidates.end(),
              [](candidate const& a, candidate const& b)
              {
                  return std::tuple(!a.ticketed_, -a.fitting_, a.row_) <
                         std::tuple(!b.ticketed_, -b.fitting_, b.row_);
              });
}

} // namespace

free_room list_free_room(planner const& context)
{
    free_room free;
    for (target_row const& target : context.targets_)
    {
        free.push_back(target.capacity_ - target.used_ - target.held_);
    }
    return free;
}

void return_reserved_room(planner const& context, stage_key const& key,
                          free_room& free)
{
    for (room_reservation const& reservation : context.holds_)
    {
        if (reservation.stage_ == key)
        {
            auto const& ids = context.targets_.keys();
            auto const  row = static_cast<std::size_t>(
                std::find(ids.begin(), ids.end(), reservation.target_) -
                ids.begin());
            free[row] = free[row] + reservation.amount_;
        }
    }
}

std::vector<candidate> list_candidates(planner const&    context,
                                       stage_view const& stage,
                                       free_room const&  free)
{
    auto const&            tickets = stage.row_.tickets_;
    std::vector<candidate> candidates;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        // When a stage becomes startable, the free room will have changed.
        std::int64_t fitting =
            stage.row_.startable_
                ? count_fitting_in(stage.step_, target, free[row])
                : count_fitting_later(stage, target);
        if (fitting == 0 || !accepts_stage(context, stage, target))
        {
            continue;
        }
        target_id const& id = context.targets_.key(row);
        auto const       ticket = tickets.find(id);
        if (ticket != tickets.end() && !ticket->second.good_)
        {
            continue;
        }
        fitting = limit_to_spread(context, stage, id, fitting);
        if (fitting > 0)
        {
            candidates.push_back(
                {fitting, row, ticket != tickets.end(),
                 ticket != tickets.end() && is_valid(context, ticket->second)});
        }
    }
    sort_candidates(candidates);
    return candidates;
}

coverage cover_room(std::vector<candidate> const& candidates)
{
    std::int64_t fitting = 0;
    std::int64_t ticketed = 0;
    for (candidate const& at : candidates)
    {
        fitting += at.fitting_;
        ticketed += at.ticketed_ ? at.fitting_ : 0;
    }
    return {fitting, ticketed};
}

void take_room(step_spec const& step, std::vector<candidate> const& candidates,
               std::int64_t fitting, std::int64_t waiting, free_room& free)
{
    // A gang that lacks room starts no task, so others may use what is free.
    std::int64_t rest = step.gang_ && fitting < waiting ? 0 : waiting;
    for (candidate const& at : candidates)
    {
        std::int64_t const taken = std::min(rest, at.fitting_);
        free[at.row_] = free[at.row_] - required_room(step) * taken;
        rest -= taken;
    }
}

std::vector<candidate>
list_later_candidates(planner const& context, stage_view const& stage,
                      std::vector<candidate> const& candidates)
{
    std::vector<bool> listed(context.targets_.size());
    for (candidate const& at : candidates)
    {
        listed[at.row_] = true;
    }
    auto const&            tickets = stage.row_.tickets_;
    std::vector<candidate> later;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const& target = context.targets_[row];
        target_id const&  id = context.targets_.key(row);
        if (listed[row] || !accepts_stage(context, stage, target) ||
            !could_run(context, stage, id, target))
        {
            continue;
        }
        std::int64_t const fitting = limit_to_spread(
            context, stage, id, count_fitting_later(stage, target));
        if (fitting > 0)
        {
            auto const ticket = tickets.find(id);
            later.push_back(
                {fitting, row, ticket != tickets.end(),
                 ticket != tickets.end() && is_valid(context, ticket->second)});
        }
    }
    sort_candidates(later);
    return later;
}

void erase_known_targets(std::vector<candidate>& candidates)
{
    std::erase_if(candidates,
                  [](candidate const& at)
                  {
                      return at.known_;
                  });
}

bool lacks_tickets(std::vector<candidate> const& candidates)
{
    return std::any_of(candidates.begin(), candidates.end(),
                       [](candidate const& at)
                       {
                           return !at.ticketed_;
                       });
}

bool is_reserved_for(planner const& context, stage_key const& key,
                     std::size_t row)
{
    target_row const& target = context.targets_[row];
    return !target.held_.is_zero() &&
           context.holds_[target.hold_].stage_ == key;
}

std::vector<candidate> list_reserved(planner const&    context,
                                     stage_view const& stage)
{
    std::vector<candidate> reserved;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        if (!is_reserved_for(context, stage.key_, row))
        {
            continue;
        }
        auto const ticket = stage.row_.tickets_.find(context.targets_.key(row));
        reserved.push_back({context.holds_[context.targets_[row].hold_].tasks_,
                            row, true,
                            ticket != stage.row_.tickets_.end() &&
                                is_valid(context, ticket->second)});
    }
    return reserved;
}

void mark_expiring(planner& context, stage_view const& stage,
                   std::int64_t lead_micros, std::vector<candidate>& candidates)
{
    for (candidate& at : candidates)
    {
        if (at.ticketed_)
        {
            instant const until =
                stage.row_.tickets_.at(context.targets_.key(at.row_))
                    .valid_until_;
            at.ticketed_ = until > context.now_.after(lead_micros);
            if (at.ticketed_)
            {
                wake_at(context, until.after(-lead_micros));
            }
        }
    }
}

} // namespace fescuevane::plan
