// Purpose: the strategies of the kinds of work.
//
// Index of sections
//   1. Where the search begins
//   2. Costs
//   3. Table
#include "decide/placement_policy.hpp"

#include "core/hashing.hpp"
#include "decide/scheduler.hpp"
#include "decide/shares.hpp"
#include "decide/task_flow.hpp"

#include <algorithm>
#include <array>

namespace fescuevane::decide
{

// 1. Where the search begins

namespace
{

// Spread work begins at a place given by its key, so that candidates differ
// from task to task.
std::size_t find_hashed_row(scheduler const& context, task_key const& task)
{
    std::uint64_t const team =
        compute_stable_hash(task.job_.team_.str(), context.settings_.seed_);
    std::uint64_t const job = compute_stable_hash(
        task.job_.job_.str(), team + task.index_ + task.attempt_);
    return job % std::max<std::size_t>(context.targets_.index_.size(), 1);
}

// Packed work fills targets from the first one on.
std::size_t find_first_row(scheduler const& /*context*/,
                           task_key const& /*task*/)
{
    return 0;
}

} // namespace

// 2. Costs

namespace
{

// Replicas counted at most; more of them are spread by load alone.
constexpr std::size_t counted_replicas = 64;

// A target or rack that already has a replica is taken only when none without
// one fits: with n racks, the loss of one then costs about 1/n of a job.
constexpr double replica_on_target_cost = 100.0;
constexpr double replica_on_rack_cost = 1.0;

double compute_load(scheduler const& context, std::size_t target,
                    resources const& amount)
{
    resources const used = context.targets_.capacity_[target] -
                           context.targets_.free_[target] + amount;
    return compute_fraction(used, context.targets_.capacity_[target]);
}

double compute_replica_cost(scheduler const& context, std::size_t job,
                            std::size_t target)
{
    double            cost = 0;
    std::size_t const count =
        std::min(context.jobs_.attempts_[job].size(), counted_replicas);
    for (std::size_t i = 0; count > 1 && i < count; ++i)
    {
        auto const task = find_task(context, job, i);
        auto const other =
            task ? context.targets_.index_.find(context.tasks_.target_[*task])
                 : std::nullopt;
        if (other && *other == target)
        {
            cost += replica_on_target_cost;
        }
        if (other &&
            context.targets_.rack_[*other] == context.targets_.rack_[target])
        {
            cost += replica_on_rack_cost;
        }
    }
    return cost;
}

// Load is below 1, so it decides only between equal counts of replicas.
double compute_spread_cost(scheduler const& context, std::size_t job,
                           std::size_t target, resources const& amount)
{
    return compute_replica_cost(context, job, target) +
           compute_load(context, target, amount);
}

double compute_pack_cost(scheduler const& context, std::size_t /*job*/,
                         std::size_t target, resources const& amount)
{
    return 1.0 - compute_load(context, target, amount);
}

} // namespace

// 3. Table

namespace
{

// In the order of `work_kind`.
constexpr std::array<placement_policy, work_kind_count> policies = {{
    {.name_ = "request: spread",
     .lookahead_ = 4,
     .find_origin_ = &find_hashed_row,
     .compute_cost_ = &compute_spread_cost},
    {.name_ = "service: spread",
     .lookahead_ = 2,
     .find_origin_ = &find_hashed_row,
     .compute_cost_ = &compute_spread_cost},
    {.name_ = "batch: pack and backfill",
     .lookahead_ = 8,
     .backfills_ = true,
     .find_origin_ = &find_first_row,
     .compute_cost_ = &compute_pack_cost},
    {.name_ = "gang: all or none",
     .lookahead_ = 1,
     .whole_job_ = true,
     .find_origin_ = &find_first_row,
     .compute_cost_ = &compute_pack_cost},
}};

} // namespace

placement_policy const& find_policy(work_kind kind)
{
    return policies.at(static_cast<std::size_t>(kind));
}

} // namespace fescuevane::decide
