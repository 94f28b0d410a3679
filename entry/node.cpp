// Purpose: life of a node, its tick and its queries.
//
// Index of sections
//   1. Context
//   2. Tick
//   3. Queries
#include "entry/node.hpp"

#include "decide/team_load.hpp"
#include "entry/limit_status.hpp"
#include "entry/node_tables.hpp"
#include "entry/shard_status.hpp"
#include "entry/target_status.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fescuevane::entry
{

// 1. Context

void node_deleter::operator()(node* context) const
{
    delete context;
}

node_ptr make_node(settings const& values, instant now)
{
    node_ptr context(new node{.settings_ = values, .now_ = now});
    context->random_.seed(values.state_.seed_ ^ values.state_.incarnation_);
    context->control_ = state::make_control(values.state_, now);
    context->heartbeat_deadline_ = now;
    context->snapshot_deadline_ = now.after(micros_per_second);
    for (auto const& [domain, shards] : values.state_.shard_counts_)
    {
        for (std::uint32_t index = 0; index < shards; ++index)
        {
            context->routes_.index_.append({domain, index});
            context->routes_.host_.append(host_id());
            context->routes_.epoch_.append(0);
            context->routes_.queued_tasks_.append(0);
            context->routes_.free_slots_.append(0);
        }
    }
    set_peers(*context, {values.seed_peers_});
    return context;
}

void post_event(node& context, event input)
{
    context.inbox_.push_back(std::move(input));
}

void count(node& context, counter which, std::uint64_t amount)
{
    context.counters_.at(static_cast<std::size_t>(which)) += amount;
}

// 2. Tick

namespace
{

constexpr std::array<system_entry, 11> systems = {{
    {"apply inbox", &apply_inbox},
    {"run control", &run_control},
    {"follow hosts", &follow_hosts},
    {"refresh routes", &refresh_routes},
    {"route calls", &route_calls},
    {"drive shards", &drive_shards},
    {"keep sessions", &keep_sessions},
    {"want grants", &want_grants},
    {"expire records", &expire_records},
    {"expire calls", &expire_calls},
    {"greet peers", &greet_peers},
}};

} // namespace

void run_tick(node& context, instant now, std::vector<command>& output)
{
    context.on_time_ = context.on_time_.after_tick(
        next_deadline(context), now, context.settings_.late_micros_);
    context.now_ = now;
    count(context, counter::ticks);
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

instant next_deadline(node const& context)
{
    if (context.control_dirty_ || !context.to_route_.empty())
    {
        return context.now_;
    }
    instant earliest = std::min(
        {state::next_deadline(*context.control_), context.session_deadline_,
         context.record_deadline_, context.expire_deadline_,
         context.heartbeat_deadline_, context.snapshot_deadline_});
    driver_table const& drivers = context.drivers_;
    for (std::size_t row = 0; row < drivers.index_.size(); ++row)
    {
        earliest =
            std::min({earliest,
                      drivers.dirty_[row] != 0
                          ? context.now_
                          : decide::next_deadline(*drivers.scheduler_[row]),
                      drivers.ready_[row] != 0 ? instant::never()
                                               : drivers.ready_deadline_[row],
                      drivers.load_deadline_[row]});
    }
    return earliest;
}

// 3. Queries

state::control const& control_of(node const& context)
{
    return *context.control_;
}

std::vector<shard_status> list_shards(node const& context)
{
    std::vector<shard_status> found;
    route_table const&        routes = context.routes_;
    for (std::size_t row = 0; row < routes.index_.size(); ++row)
    {
        shard_id const& shard = routes.index_.key(row);
        auto const      owner = state::find_owner(*context.control_, shard);
        bool const      ready = !routes.host_[row].empty();
        found.push_back(
            {.owner_ = {.shard_ = shard,
                        .host_ = ready   ? routes.host_[row]
                                 : owner ? owner->host_
                                         : host_id(),
                        .address_ = owner ? owner->address_ : std::string(),
                        .epoch_ = ready   ? routes.epoch_[row]
                                  : owner ? owner->epoch_
                                          : 0},
             .ready_ = ready,
             .queued_tasks_ = routes.queued_tasks_[row],
             .free_slots_ = routes.free_slots_[row]});
    }
    return found;
}

std::vector<target_status> list_targets(node const& context)
{
    std::vector<target_status> found;
    for (std::size_t row = 0; row < context.hosts_.index_.size(); ++row)
    {
        listed_host const& host = context.hosts_.host_[row];
        auto const session = context.sessions_.index_.find(host.target_);
        bool const attached = session && context.sessions_.phase_[*session] ==
                                             session_phase::attached;
        found.push_back({.target_ = host.target_,
                         .rack_ = host.rack_,
                         .shard_ = find_shard_of(context, host),
                         .state_ = host.leaving_ ? "leaving"
                                   : !session    ? "listed"
                                   : attached    ? "attached"
                                                 : "unreached"});
    }
    return found;
}

std::vector<limit_status> list_limits(node const& context)
{
    std::vector<limit_status> found;
    driver_table const&       drivers = context.drivers_;
    for (std::size_t row = 0; row < drivers.index_.size(); ++row)
    {
        for (decide::team_load const& load :
             decide::list_team_loads(*drivers.scheduler_[row]))
        {
            auto const part = drivers.allotments_[row].find(load.team_);
            bool const limited = part != drivers.allotments_[row].end();
            found.push_back(
                {.team_ = load.team_,
                 .shard_ = drivers.index_.key(row),
                 .allotment_ = limited ? std::optional<resources>(part->second)
                                       : std::nullopt,
                 .used_ = load.used_});
        }
    }
    return found;
}

counter_values const& read_counters(node const& context)
{
    return context.counters_;
}

bool is_ready(node const& context)
{
    return !context.stopping_ && context.config_ != nullptr;
}

bool has_stopped(node const& context)
{
    if (!context.stopping_)
    {
        return false;
    }
    bool const idle = context.calls_.index_.size() == 0 &&
                      context.watchers_.empty() &&
                      context.drivers_.index_.size() == 0;
    return (idle && state::has_released_all(*context.control_)) ||
           context.stop_deadline_ <= context.now_;
}

} // namespace fescuevane::entry
