// Purpose: free capacity of targets and limits for the tasks of a stage.
#include "plan/room.hpp"

#include "plan/job_flow.hpp"
#include "plan/limit_claims.hpp"
#include "plan/planner.hpp"
#include "plan/room_reservations.hpp"
#include "plan/stage_view.hpp"

#include <algorithm>
#include <limits>

namespace fescuevane::plan
{
namespace
{

constexpr std::int64_t unlimited = std::numeric_limits<std::int32_t>::max();

std::int64_t divide(std::int64_t room, std::int64_t demand)
{
    return demand <= 0 ? unlimited : std::max<std::int64_t>(0, room) / demand;
}

bool fits_amount(std::int64_t amount, std::int64_t limit)
{
    return limit <= 0 || amount <= limit;
}

} // namespace

namespace
{

bool matches_target(planner const& context, stage_view const& stage,
                    target_row const& target)
{
    std::string const& label = stage.step_.required_label_;
    return context.in_service_ &&
           target.service_ == stage.job_.spec_->service_ &&
           (label.empty() ||
            std::find(target.labels_.begin(), target.labels_.end(), label) !=
                target.labels_.end());
}

} // namespace

bool suits_stage(planner const& context, stage_view const& stage,
                 target_row const& target)
{
    return target.phase_ == target_phase::usable &&
           matches_target(context, stage, target);
}

bool accepts_stage(planner const& context, stage_view const& stage,
                   target_row const& target)
{
    return target.unknown_runs_.empty() &&
           target.paused_until_ <= context.now_ &&
           target.probation_until_ <= context.now_ &&
           suits_stage(context, stage, target);
}

resources charged_resources(resources const& demand, bool filler)
{
    return filler ? resources(0, demand.memory_mib(), demand.accelerators())
                  : demand;
}

resources required_room(step_spec const& step)
{
    return charged_resources(step.demand_, step.filler_);
}

std::int64_t count_fitting_in(step_spec const& step, target_row const& target,
                              resources const& room)
{
    resources const& demand = step.demand_;
    // A filler may not be larger than the target, but needs no idle processors.
    std::int64_t const processors =
        step.filler_
            ? divide(target.capacity_.cpu_millis(), demand.cpu_millis())
            : divide(room.cpu_millis(), demand.cpu_millis());
    return std::min({processors, divide(room.memory_mib(), demand.memory_mib()),
                     divide(room.accelerators(), demand.accelerators())});
}

std::int64_t count_fitting_later(stage_view const& stage,
                                 target_row const& target)
{
    return count_fitting_in(stage.step_, target,
                            target.capacity_ - target.lasting_);
}

std::int64_t count_startable(planner const& context, stage_view const& stage,
                             target_id const& id, target_row const& target)
{
    return limit_to_spread(
        context, stage, id,
        count_fitting_in(stage.step_, target,
                         find_free_room(context, stage.key_, target)));
}

std::int64_t limit_to_spread(planner const& context, stage_view const& stage,
                             target_id const& id, std::int64_t fitting)
{
    std::uint32_t const limit = stage.step_.spread_limit_;
    if (limit == 0 || fitting == 0)
    {
        return fitting;
    }
    std::int64_t const there = count_on_target(context, stage, id);
    return std::clamp<std::int64_t>(limit - there, 0, fitting);
}

bool could_run(planner const& context, stage_view const& stage,
               target_id const& id, target_row const& target)
{
    auto const ticket = stage.row_.tickets_.find(id);
    bool const forbidden =
        ticket != stage.row_.tickets_.end() && !ticket->second.good_;
    // An unreachable target may return before the stage moves to another shard.
    return !forbidden && target.phase_ != target_phase::draining &&
           matches_target(context, stage, target);
}

bool is_blocked(planner const& context, stage_view const& stage)
{
    step_spec const&   step = stage.step_;
    std::int64_t const needed =
        step.gang_ ? static_cast<std::int64_t>(step.count_) : 1;
    std::int64_t room = 0;
    for (std::size_t row = 0; row < context.targets_.size() && room < needed;
         ++row)
    {
        target_row const& target = context.targets_[row];
        target_id const&  id = context.targets_.key(row);
        if (could_run(context, stage, id, target))
        {
            room += limit_to_spread(context, stage, id,
                                    count_fitting_later(stage, target));
        }
    }
    return room < needed;
}

bool has_ticket(planner const& context, stage_view const& stage,
                target_id const& target)
{
    if (!needs_ticket(stage))
    {
        return true;
    }
    auto const ticket = stage.row_.tickets_.find(target);
    return ticket != stage.row_.tickets_.end() &&
           is_valid(context, ticket->second);
}

bool is_valid(planner const& context, ticket_cell const& ticket)
{
    return ticket.good_ &&
           ticket.valid_until_ >
               context.now_.after(context.settings_.advice_margin_micros_);
}

bool may_use(stage_row const& stage, target_id const& target)
{
    auto const ticket = stage.tickets_.find(target);
    return stage.tickets_.empty() ||
           (ticket != stage.tickets_.end() && ticket->second.good_);
}

std::int64_t count_room_later(planner const& context, stage_view const& stage)
{
    std::int64_t room = 0;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        if (may_use(stage.row_, context.targets_.key(row)) &&
            accepts_stage(context, stage, context.targets_[row]))
        {
            room += count_fitting_later(stage, context.targets_[row]);
        }
    }
    return room;
}

bool fits_limit(resources const& amount, resources const& limit)
{
    return fits_amount(amount.cpu_millis(), limit.cpu_millis()) &&
           fits_amount(amount.memory_mib(), limit.memory_mib()) &&
           fits_amount(amount.accelerators(), limit.accelerators());
}

bool is_within_limit(planner const& context, organisation_id const& id,
                     stage_key const& stage, resources const& demand)
{
    organisation_row const* const row = context.organisations_.find(id);
    return row == nullptr ||
           fits_limit(row->used_ + row->unseen_ + demand +
                          find_reserved_for_claim(context, id, stage),
                      row->limit_);
}

std::uint32_t count_on_target(planner const& context, stage_view const& stage,
                              target_id const& target)
{
    auto const& rows = stage.same_origin_;
    return static_cast<std::uint32_t>(
        std::count_if(rows.begin(), rows.end(),
                      [&](std::size_t row)
                      {
                          return context.runs_[row].target_ == target;
                      }));
}

} // namespace fescuevane::plan
