// Purpose: choice of the shard that a new job is sent to. No I/O, no clock.
#ifndef FESCUEVANE_CELL_ROUTE_JOB_HPP
#define FESCUEVANE_CELL_ROUTE_JOB_HPP

#include "cell/route_option.hpp"
#include "core/ids.hpp"
#include "core/resources.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace fescuevane
{
struct staged_job;
} // namespace fescuevane

namespace fescuevane::cell
{

struct settings;

// What a policy reads, besides the option itself.
struct route_request
{
    job_id const&   job_;
    resources const demand_; // of the steps that can start at once
    settings const& settings_;
};

// Costs of an option; the smallest one is chosen. Within a failure domain the
// cost includes jitter: hosts act on heartbeats of the same age, and would all
// choose the same shard until the next one.
struct route_policy
{
    double (*const between_domains_)(route_request const&, route_option const&);
    double (*const within_domain_)(route_request const&, route_option const&);
};

// By demand over capacity at the latest heartbeat.
extern route_policy const route_by_load;

// By the expected wait until a task of the job starts. The further ahead of
// other failure domains its own one is, the more jobs leave it, so that demand
// that moves is followed without moving all jobs at once.
extern route_policy const route_by_wait;

// Expected seconds until `demand` finds room; 0 while there is some.
double expect_wait_s(shard_demand const& shard, resources const& demand);

// The demand of the steps without predecessors.
resources sum_first_demand(staged_job const& job);

std::optional<shard_id> choose_route(route_policy const&           policy,
                                     route_request const&          request,
                                     std::span<route_option const> options);

} // namespace fescuevane::cell

#endif
