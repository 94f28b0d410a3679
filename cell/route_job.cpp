// Purpose: choice of the shard that a new job is sent to.
#include "cell/route_job.hpp"

#include "cell/settings.hpp"
#include "core/hashing.hpp"
#include "core/staged_job.hpp"
#include "core/step_spec.hpp"

#include <algorithm>
#include <array>
#include <map>

namespace fescuevane::cell
{
namespace
{

// Share of the capacity that is full in practice: what is left is spread over
// targets in pieces that are too small for a task.
constexpr double usable_share = 0.9;

// Time in which a shard without running tasks would free all its capacity.
// Only used until its owner has reported one.
constexpr double default_turnover_s = 4;

// Largest jitter between the shards of a failure domain, in shares of capacity.
constexpr double load_jitter = 0.25;

// Jobs leave their failure domain at waits from this share of
// `route_crossing_s_` up to it and this share more.
constexpr double first_crossing_share = 0.5;

// Expected wait for a resource of which the shard has none: it lost all its
// targets, or was just claimed. Longer than queues, and below the costs of
// shards that can't run the job (`choose_shard`).
constexpr double no_capacity_wait_s = 60;

struct amounts
{
    double const asked_; // by the job
    double const wanted_;
    double const capacity_;
    double const freed_;
};

std::array<amounts, 3> list_amounts(shard_demand const& shard,
                                    resources const&    demand)
{
    resources const wanted = shard.wanted_ + shard.sent_ + demand;
    // All tasks take processors and memory, so all of them wait for these; only
    // those that ask for accelerators wait for them.
    std::int64_t const accelerators =
        demand.accelerators() > 0 ? wanted.accelerators() : 0;
    auto const entry = [](std::int64_t asked, std::int64_t amount,
                          std::int64_t capacity, std::int64_t freed)
    {
        return amounts{static_cast<double>(asked), static_cast<double>(amount),
                       static_cast<double>(capacity),
                       static_cast<double>(freed)};
    };
    return {entry(demand.cpu_millis(), wanted.cpu_millis(),
                  shard.capacity_.cpu_millis(), shard.freed_.cpu_millis()),
            entry(demand.memory_mib(), wanted.memory_mib(),
                  shard.capacity_.memory_mib(), shard.freed_.memory_mib()),
            entry(demand.accelerators(), accelerators,
                  shard.capacity_.accelerators(), shard.freed_.accelerators())};
}

// Between 0 and 1, the same on all hosts.
double spread_evenly(job_id const& job, std::uint32_t salt)
{
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(compute_stable_hash(job.str(), salt) % steps) /
           steps;
}

// Processors only. A shard that was just claimed has reported no load yet.
double share_in_use(shard_demand const& shard, resources const& more)
{
    double const capacity = static_cast<double>(shard.capacity_.cpu_millis());
    double const wanted =
        static_cast<double>((shard.wanted_ + more).cpu_millis());
    return capacity > 0 ? wanted / capacity : 1;
}

double find_load(route_request const& request, route_option const& option)
{
    return share_in_use(option.demand_, resources()) +
           (option.remote_ ? request.settings_.remote_cost_ : 0) +
           option.penalty_;
}

double find_jittered_load(route_request const& request,
                          route_option const&  option)
{
    return find_load(request, option) +
           load_jitter * spread_evenly(request.job_, option.shard_.index_);
}

double find_wait(route_request const& request, route_option const& option)
{
    constexpr std::uint32_t crossing_salt = 0xc0;
    double const            crossing =
        option.remote_ ? request.settings_.route_crossing_s_ *
                             (first_crossing_share +
                              spread_evenly(request.job_, crossing_salt))
                                  : 0;
    return expect_wait_s(option.demand_, request.demand_) + crossing +
           option.penalty_;
}

double find_jittered_wait(route_request const& request,
                          route_option const&  option)
{
    return find_wait(request, option) +
           share_in_use(option.demand_, option.demand_.sent_) +
           load_jitter * spread_evenly(request.job_, option.shard_.index_);
}

} // namespace

route_policy const route_by_load = {&find_load, &find_jittered_load};
route_policy const route_by_wait = {&find_wait, &find_jittered_wait};

double expect_wait_s(shard_demand const& shard, resources const& demand)
{
    double wait_s = 0;
    for (amounts const& at : list_amounts(shard, demand))
    {
        if (at.capacity_ <= 0)
        {
            wait_s = std::max(wait_s, at.asked_ > 0 ? no_capacity_wait_s : 0);
            continue;
        }
        double const missing = at.wanted_ - usable_share * at.capacity_;
        if (missing <= 0)
        {
            continue;
        }
        double const freed =
            at.freed_ > 0 ? at.freed_ : at.capacity_ / default_turnover_s;
        wait_s = std::max(wait_s, missing / freed);
    }
    return wait_s;
}

resources sum_first_demand(staged_job const& job)
{
    resources sum;
    for (step_spec const& step : job.steps_)
    {
        if (step.after_.empty() && !step.filler_)
        {
            sum = sum + step.demand_ * step.count_;
        }
    }
    return sum;
}

std::optional<shard_id> choose_route(route_policy const&           policy,
                                     route_request const&          request,
                                     std::span<route_option const> options)
{
    struct choice
    {
        route_option const* option_ = nullptr;
        double              cost_ = 0;
    };
    std::map<domain_id, choice> choices;
    for (route_option const& option : options)
    {
        double const cost = policy.within_domain_(request, option);
        choice&      best = choices[option.shard_.domain_];
        if (best.option_ == nullptr || cost < best.cost_)
        {
            best = {&option, cost};
        }
    }
    std::optional<shard_id> chosen;
    double                  lowest = 0;
    for (auto const& [domain, best] : choices)
    {
        double const cost = policy.between_domains_(request, *best.option_);
        if (!chosen || cost < lowest)
        {
            chosen = best.option_->shard_;
            lowest = cost;
        }
    }
    return chosen;
}

} // namespace fescuevane::cell
