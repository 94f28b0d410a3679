// Purpose: a scheduler over a model of targets.
#include "bench/fleet.hpp"

#include "bench/statistics.hpp"
#include "decide/shard_load.hpp"

#include <algorithm>
#include <string>

namespace fescuevane::bench
{

fleet::fleet(fleet_size const& size, decide::settings const& values)
    : scheduler_(decide::make_scheduler(values))
{
    std::vector<decide::team_policy> teams;
    for (std::uint32_t index = 0; index < size.teams_; ++index)
    {
        teams.push_back({.team_ = name_team(index)});
    }
    set_policy(teams, true);
    for (std::uint32_t index = 0; index < size.targets_; ++index)
    {
        decide::post_event(
            *scheduler_,
            decide::target_joined{target_id("target-" + std::to_string(index)),
                                  rack_id("rack-" + std::to_string(index / 8)),
                                  size.capacity_, size.slots_});
    }
    tick();
}

void fleet::set_policy(std::vector<decide::team_policy> teams, bool in_service)
{
    decide::post_event(*scheduler_,
                       decide::policy_set{std::move(teams), in_service});
}

void fleet::submit(job_spec const& spec)
{
    decide::post_event(*scheduler_, decide::job_submitted{spec});
}

decide::shard_load fleet::load() const
{
    return decide::summarize_load(*scheduler_);
}

tick_sample fleet::tick()
{
    end_due();
    commands_.clear();
    double const before = read_processor_micros();
    decide::run_tick(*scheduler_, now_, commands_);
    double const  spent = read_processor_micros() - before;
    std::uint32_t starts = 0;
    for (decide::command const& each : commands_)
    {
        starts += std::holds_alternative<decide::start_task>(each) ? 1 : 0;
        std::visit(
            [this](auto const& value)
            {
                obey(value);
            },
            each);
    }
    return {spent, starts};
}

void fleet::obey(decide::start_task const& value)
{
    instant const end = now_.after(value.spec_->declared_run_micros_);
    running_.emplace(value.task_, running_task{value.target_,
                                               value.reservation_, now_, end});
    ends_.emplace(end, value.task_);
    used_ = used_ + value.reservation_;
    auto& of_team = team_used_[value.task_.job_.team_];
    of_team = of_team + value.reservation_;
    decide::post_event(*scheduler_,
                       decide::task_started{value.task_, value.target_});
}

void fleet::obey(decide::stop_task const& value)
{
    auto const found = running_.find(value.task_);
    if (found != running_.end())
    {
        lost_work_ += found->second.start_.remaining_until(now_) *
                      found->second.reservation_.cpu_millis();
    }
    end_task(value.task_, outcome::canceled, value.checkpoint_);
}

// What remains takes longer in the ratio of the processors.
void fleet::obey(decide::throttle_task const& value)
{
    auto const found = running_.find(value.task_);
    if (found == running_.end() || value.cpu_millis_ <= 0)
    {
        return;
    }
    running_task const task = found->second;
    std::int64_t const left =
        std::max<std::int64_t>(0, task.end_.micros() - now_.micros());
    std::int64_t const cpu =
        std::max(task.reservation_.cpu_millis(), value.cpu_millis_);
    instant const end = now_.after(left * cpu / value.cpu_millis_);
    ends_.erase({task.end_, value.task_});
    ends_.emplace(end, value.task_);
    running_.erase(found);
    running_.emplace(value.task_, running_task{task.target_, task.reservation_,
                                               task.start_, end});
}

void fleet::obey(decide::job_changed const& /*value*/) {}

void fleet::end_task(task_key const& task, outcome result, bool checkpointed)
{
    auto const found = running_.find(task);
    if (found == running_.end())
    {
        return;
    }
    running_task const ended = found->second;
    decide::post_event(*scheduler_,
                       decide::task_ended{.task_ = task,
                                          .target_ = ended.target_,
                                          .outcome_ = result,
                                          .checkpointed_ = checkpointed});
    used_ = used_ - ended.reservation_;
    auto& of_team = team_used_[task.job_.team_];
    of_team = of_team - ended.reservation_;
    ends_.erase({ended.end_, task});
    running_.erase(found);
}

void fleet::end_due()
{
    while (!ends_.empty() && ends_.begin()->first <= now_)
    {
        task_key const task = ends_.begin()->second;
        end_task(task, outcome::succeeded, false);
    }
}

} // namespace fescuevane::bench
