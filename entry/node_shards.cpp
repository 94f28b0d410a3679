// Purpose: which shard a target or a job belongs to, and which process takes
// the work of a shard.
#include "core/core.hpp"
#include "decide/shard_load.hpp"
#include "entry/node_tables.hpp"
#include "state/config.hpp"

#include <algorithm>

namespace fescuevane::entry
{
namespace
{

// Separates the home shard from the rest of an assigned job id.
constexpr char home_separator = '~';

// True when the route changed.
bool set_route(node& context, std::size_t row, host_id const& host, epoch term,
               shard_report const& load)
{
    route_table& routes = context.routes_;
    routes.queued_tasks_[row] = load.queued_tasks_;
    routes.free_slots_[row] = load.free_slots_;
    if (routes.host_[row] == host && routes.epoch_[row] == term)
    {
        return false;
    }
    routes.host_[row] = host;
    routes.epoch_[row] = term;
    return true;
}

// Of all processes that say they own the shard, the highest epoch counts.
bool refresh_route(node& context, std::size_t row)
{
    shard_id const& shard = context.routes_.index_.key(row);
    host_id         host;
    epoch           term = 0;
    shard_report    load{.shard_ = shard};
    auto const      driver = context.drivers_.index_.find(shard);
    if (driver && context.drivers_.ready_[*driver] != 0)
    {
        host = context.settings_.state_.host_;
        term = context.drivers_.epoch_[*driver];
    }
    std::size_t best_peer = context.peers_.index_.size();
    for (std::size_t peer = 0; peer < context.peers_.index_.size(); ++peer)
    {
        auto const report = context.peers_.reports_[peer].find(shard);
        if (report != context.peers_.reports_[peer].end() &&
            report->second.ready_ && report->second.epoch_ > term &&
            context.peers_.alive_deadline_[peer] > context.now_)
        {
            host = context.peers_.index_.key(peer);
            term = report->second.epoch_;
            best_peer = peer;
        }
    }
    if (best_peer != context.peers_.index_.size())
    {
        return set_route(context, row, host, term,
                         context.peers_.reports_[best_peer].at(shard));
    }
    if (host.empty())
    {
        return set_route(context, row, host, term, load);
    }
    return set_route(context, row, host, term,
                     report_own_shard(context, *driver));
}

} // namespace

shard_report report_own_shard(node const& context, std::size_t driver)
{
    decide::shard_load const load =
        decide::summarize_load(*context.drivers_.scheduler_[driver]);
    return {.shard_ = context.drivers_.index_.key(driver),
            .epoch_ = context.drivers_.epoch_[driver],
            .ready_ = context.drivers_.ready_[driver] != 0,
            .queued_tasks_ = load.queued_tasks_,
            .free_slots_ = load.free_slots_};
}

shard_id find_shard_of(node const& context, listed_host const& host)
{
    auto const found =
        context.settings_.state_.shard_counts_.find(host.domain_);
    if (found == context.settings_.state_.shard_counts_.end())
    {
        return {host.domain_, 0};
    }
    auto const index = static_cast<std::uint32_t>(
        compute_stable_hash(host.target_.str()) % found->second);
    return {host.domain_, index};
}

std::vector<shard_id> order_shards(node const& context, job_key const& job)
{
    std::vector<shard_id> const& all = context.routes_.index_.keys();
    std::string const            name = format_key(job);
    auto const                   weigh = [&name](shard_id const& shard)
    {
        return compute_stable_hash(name + "@" + format_key(shard));
    };
    std::vector<shard_id> order = all;
    std::sort(order.begin(), order.end(),
              [&weigh](shard_id const& a, shard_id const& b)
              {
                  return weigh(a) > weigh(b);
              });
    std::size_t const separator = job.job_.str().find(home_separator);
    if (separator != std::string::npos)
    {
        auto const home = parse_shard_id(job.job_.str().substr(0, separator));
        auto const at =
            home ? std::find(order.begin(), order.end(), *home) : order.end();
        if (at != order.end())
        {
            std::rotate(order.begin(), at, at + 1);
        }
    }
    return order;
}

bool is_in_service(node const& context, domain_id const& domain)
{
    if (!context.config_)
    {
        return false;
    }
    auto const found = context.config_->domains_.find(domain);
    return found != context.config_->domains_.end() &&
           found->second.in_service_;
}

void refresh_routes(node& context)
{
    if (!context.routes_stale_)
    {
        return;
    }
    context.routes_stale_ = false;
    bool changed = false;
    for (std::size_t row = 0; row < context.routes_.index_.size(); ++row)
    {
        changed |= refresh_route(context, row);
    }
    if (!changed && context.parked_ == 0)
    {
        return;
    }
    context.parked_ = 0;
    for (std::size_t row = 0; row < context.calls_.index_.size(); ++row)
    {
        if (context.calls_.kind_[row] != routed_call_kind::ticket)
        {
            context.to_route_.push_back(context.calls_.index_.key(row));
        }
    }
}

} // namespace fescuevane::entry
