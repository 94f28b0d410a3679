// Purpose: changes of targets and of the policy in force.
#include "decide/apply_event.hpp"
#include "decide/job_flow.hpp"
#include "decide/scheduler.hpp"
#include "decide/task_flow.hpp"

#include <vector>

namespace fescuevane::decide
{
namespace
{

std::size_t find_or_append_target(target_table& table, target_id const& target)
{
    auto const row = table.index_.find(target);
    return row ? *row : append_target(table, target);
}

// A return to service puts capacity to use step by step, since everything that
// waits would start at once otherwise.
void set_domain(scheduler& context, bool in_service)
{
    domain_state& domain = context.domain_;
    if (in_service && !domain.in_service_)
    {
        domain.ramping_ = true;
        domain.ramp_start_ = context.now_;
        domain.ramp_base_ = context.targets_.total_used_;
    }
    if (!in_service)
    {
        context.drain_needed_ = true;
    }
    domain.in_service_ = in_service;
}

} // namespace

void apply_event(scheduler& context, policy_set const& input)
{
    team_table& teams = context.teams_;
    for (std::size_t row = 0; row < teams.index_.size(); ++row)
    {
        teams.configured_[row] = 0;
        teams.allotment_[row] = std::nullopt;
    }
    for (team_policy const& policy : input.teams_)
    {
        std::size_t const row = find_or_append_team(teams, policy.team_);
        teams.configured_[row] = 1;
        teams.share_[row] = policy.share_ > 0 ? policy.share_ : 1;
        teams.allotment_[row] = policy.allotment_;
    }
    context.domain_.policy_known_ = true;
    set_domain(context, input.domain_in_service_);
    context.drain_needed_ = true;
    context.place_needed_ = true;
}

void apply_event(scheduler& context, target_joined const& input)
{
    std::size_t const row =
        find_or_append_target(context.targets_, input.target_);
    reach_target(context.targets_, row, input);
    context.place_needed_ = true;
}

void apply_event(scheduler& context, target_unreached const& input)
{
    std::size_t const row =
        find_or_append_target(context.targets_, input.target_);
    unreach_target(context.targets_, row, input.capacity_,
                   input.lapse_deadline_, input.idle_);
    add_timer(context.timers_, input.lapse_deadline_, timer_kind::lapse, {},
              input.target_);
}

void apply_event(scheduler& context, target_leaving const& input)
{
    if (auto const row = context.targets_.index_.find(input.target_))
    {
        context.targets_.leaving_[*row] = 1;
        update_room(context.targets_, *row);
        context.drain_needed_ = true;
    }
}

void apply_event(scheduler& context, target_lost const& input)
{
    lose_target(context, input.target_);
}

void lose_target(scheduler& context, target_id const& target)
{
    auto const row = context.targets_.index_.find(target);
    if (!row)
    {
        return;
    }
    context.unseen_lost_ =
        context.unseen_lost_ || context.targets_.seen_[*row] == 0;
    std::vector<task_key> const tasks = context.targets_.tasks_[*row];
    for (task_key const& key : tasks)
    {
        if (auto const task = context.tasks_.index_.find(key))
        {
            lose_task(context, *task);
        }
    }
    remove_target(context.targets_, *row);
    context.place_needed_ = true;
}

} // namespace fescuevane::decide
