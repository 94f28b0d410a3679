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

constexpr std::array<system_entry, 3> systems = {{
    {"apply events", &apply_events},
    {"expire deadlines", &expire_deadlines},
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
    instant earliest = instant::never();
    for (std::size_t row = 0; row < context.jobs_.index_.size(); ++row)
    {
        job_state const state = context.jobs_.result_[row].state_;
        instant const   due = is_final(state)
                                  ? context.jobs_.keep_deadline_[row]
                                  : context.jobs_.spec_[row]->start_deadline_;
        earliest = std::min(earliest, due);
    }
    return earliest;
}

// 3. Queries

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
    resources     capacity;
    resources     free;
    std::uint64_t free_slots = 0;
    for (std::size_t row = 0; row < context.targets_.index_.size(); ++row)
    {
        capacity = capacity + context.targets_.capacity_[row];
        free = free + context.targets_.free_[row];
        free_slots += context.targets_.free_slots_[row];
    }
    auto const queued =
        std::count(context.tasks_.phase_.begin(), context.tasks_.phase_.end(),
                   task_phase::queued);
    return {.capacity_ = capacity,
            .reserved_ = capacity - free,
            .queued_tasks_ = static_cast<std::uint64_t>(queued),
            .running_tasks_ = context.tasks_.index_.size() -
                              static_cast<std::uint64_t>(queued),
            .free_slots_ = free_slots};
}

std::vector<team_load> list_team_loads(scheduler const& /*context*/)
{
    return {};
}

} // namespace fescuevane::decide
