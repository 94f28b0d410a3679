// Purpose: life of a scheduler, its tick and its queries.
//
// Index of sections
//   1. Context
//   2. Tick
//   3. Queries
#include "decide/scheduler.hpp"

#include "decide/decide.hpp"
#include "decide/shard_load.hpp"
#include "decide/team_load.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fescuevane::decide
{

// 1. Context

void scheduler_deleter::operator()(scheduler* context) const
{
    delete context;
}

scheduler_ptr make_scheduler(settings const& values)
{
    return scheduler_ptr(new scheduler{.settings_ = values});
}

void post_event(scheduler& context, event input)
{
    context.inbox_.push_back(std::move(input));
}

// 2. Tick

namespace
{

constexpr std::array<system_entry, 7> systems = {{
    {"apply events", &apply_events},
    {"expire deadlines", &expire_deadlines},
    {"release held jobs", &release_held_jobs},
    {"update shares", &update_shares},
    {"reclaim capacity", &reclaim_capacity},
    {"drain targets", &drain_targets},
    {"place tasks", &place_tasks},
}};

} // namespace

void run_tick(scheduler& context, instant now, std::vector<command>& output)
{
    context.now_ = now;
    for (system_entry const& system : systems)
    {
        system.run_(context);
    }
    for (command& produced : context.outbox_)
    {
        output.push_back(std::move(produced));
    }
    context.outbox_.clear();
}

instant next_deadline(scheduler const& context)
{
    return context.place_needed_ ? context.now_
                                 : find_earliest(context.timers_);
}

// 3. Queries

std::shared_ptr<job_spec const> find_spec(scheduler const& context,
                                          job_key const&   job)
{
    auto const row = context.jobs_.index_.find(job);
    return row ? context.jobs_.spec_[*row] : nullptr;
}

std::optional<job_result> find_result(scheduler const& context,
                                      job_key const&   job)
{
    auto const row = context.jobs_.index_.find(job);
    if (!row)
    {
        return std::nullopt;
    }
    return context.jobs_.result_[*row];
}

shard_load summarize_load(scheduler const& context)
{
    target_table const& targets = context.targets_;
    resources           capacity;
    resources           reserved;
    std::uint64_t       free_slots = 0;
    for (std::size_t row = 0; row < targets.index_.size(); ++row)
    {
        if (takes_work(targets, row))
        {
            capacity = capacity + targets.capacity_[row];
            reserved = reserved + targets.capacity_[row] - targets.free_[row];
            free_slots += static_cast<std::uint64_t>(
                std::max<std::int64_t>(targets.free_slots_[row], 0));
        }
    }
    auto const waiting =
        std::count(context.tasks_.phase_.begin(), context.tasks_.phase_.end(),
                   task_phase::queued);
    return {.capacity_ = capacity,
            .reserved_ = reserved,
            .queued_tasks_ = static_cast<std::uint64_t>(waiting),
            .running_tasks_ = context.tasks_.index_.size() -
                              static_cast<std::uint64_t>(waiting),
            .free_slots_ = free_slots};
}

std::vector<team_load> list_team_loads(scheduler const& context)
{
    std::vector<team_load> loads;
    team_table const&      teams = context.teams_;
    for (std::size_t row = 0; row < teams.index_.size(); ++row)
    {
        resources const unproven = teams.allotment_[row]
                                       ? context.targets_.total_charged_
                                       : resources();
        loads.push_back({.team_ = teams.index_.key(row),
                         .used_ = teams.used_[row] + unproven,
                         .waiting_ = teams.waiting_[row]});
    }
    return loads;
}

} // namespace fescuevane::decide
