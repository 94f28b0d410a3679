// Purpose: the other entry processes: heartbeats and messages.
#include "entry/node_tables.hpp"

#include "state/config.hpp"

#include <set>
#include <utility>

namespace fescuevane::entry
{
namespace
{

constexpr std::int64_t snapshot_interval_micros = micros_per_second;

std::size_t find_or_append_peer(node& context, host_id const& host)
{
    auto const row = context.peers_.index_.find(host);
    return row ? *row : append_peer(context.peers_, host, {}, {});
}

void take(node& context, host_id const& from, heartbeat const& message)
{
    std::size_t const row = find_or_append_peer(context, from);
    peer_table&       peers = context.peers_;
    peers.alive_deadline_[row] =
        context.now_.after(context.settings_.state_.suspect_after_micros_);
    peers.leaving_[row] = message.leaving_ ? 1 : 0;
    std::map<shard_id, shard_report> reports;
    for (shard_report const& report : message.shards_)
    {
        reports.emplace(report.shard_, report);
    }
    peers.reports_[row].swap(reports);
    context.routes_stale_ = true;
    state::post_event(*context.control_,
                      state::peer_seen{.host_ = from,
                                       .domain_ = peers.domain_[row],
                                       .address_ = peers.address_[row],
                                       .leaving_ = message.leaving_,
                                       .committed_ = message.committed_,
                                       .accepted_ = message.accepted_});
    context.control_dirty_ = true;
}

void take(node& context, host_id const& from, submit_passed const& message)
{
    count(context, counter::hops_received);
    take_submit(context, {from, message.call_, message.shard_}, message);
}

void take(node& context, host_id const& from, lookup_passed const& message)
{
    count(context, counter::hops_received);
    take_lookup(context, {from, message.call_, message.shard_}, message);
}

void take(node& context, host_id const& /*from*/, cancel_passed const& message)
{
    take_cancel(context, message);
}

void take(node& context, host_id const& /*from*/, answer_passed const& message)
{
    take_answer(context, message);
}

void take(node& context, host_id const& from, snapshot_wanted const& /*wish*/)
{
    if (context.config_)
    {
        context.outbox_.push_back(send_peer{
            from, snapshot_passed{state::write_snapshot(*context.control_)}});
    }
}

void take(node&                  context, host_id const& /*from*/,
          snapshot_passed const& message)
{
    state::post_event(*context.control_,
                      state::state_received{message.snapshot_});
    context.control_dirty_ = true;
}

heartbeat make_heartbeat(node const& context)
{
    std::vector<shard_report> reports;
    driver_table const&       drivers = context.drivers_;
    for (std::size_t row = 0; row < drivers.index_.size(); ++row)
    {
        reports.push_back(report_own_shard(context, row));
    }
    auto const accepted = state::accepted_config(*context.control_);
    return {.committed_ = state::committed_number(*context.control_),
            .accepted_ = accepted ? accepted->number_ : 0,
            .shards_ = std::move(reports),
            .leaving_ = context.stopping_};
}

// A process that can't read the store asks its peers for what they know.
void request_snapshot(node& context)
{
    if (context.snapshot_deadline_ > context.now_)
    {
        return;
    }
    context.snapshot_deadline_ =
        context.store_was_read_ ? instant::never()
                                : context.now_.after(snapshot_interval_micros);
    if (context.store_was_read_ || context.config_)
    {
        return;
    }
    for (host_id const& peer : context.peers_.index_.keys())
    {
        context.outbox_.push_back(send_peer{peer, snapshot_wanted{}});
    }
}

} // namespace

void take_peer(node& context, peer_received const& input)
{
    std::visit(
        [&context, &input](auto const& message)
        {
            take(context, input.host_, message);
        },
        input.message_);
}

void set_peers(node& context, state::peers_changed const& input)
{
    // Settings go before rows: they may name another way to the same peer.
    std::vector<state::peer_address> wanted;
    std::set<host_id>                hosts{context.settings_.state_.host_};
    for (auto const* list : {&context.settings_.seed_peers_, &input.peers_})
    {
        for (state::peer_address const& peer : *list)
        {
            if (hosts.insert(peer.host_).second)
            {
                wanted.push_back(peer);
            }
        }
    }
    for (state::peer_address const& peer : wanted)
    {
        std::size_t const row = find_or_append_peer(context, peer.host_);
        context.peers_.domain_.replace(row, peer.domain_);
        context.peers_.address_.replace(row, peer.address_);
    }
    for (std::size_t row = context.peers_.index_.size(); row-- > 0;)
    {
        bool const kept = hosts.contains(context.peers_.index_.key(row));
        if (!kept && context.peers_.alive_deadline_[row] <= context.now_)
        {
            remove_peer(context.peers_, row);
        }
    }
    context.outbox_.push_back(connect_peers{std::move(wanted)});
}

void greet_peers(node& context)
{
    request_snapshot(context);
    if (context.now_ < context.heartbeat_deadline_)
    {
        return;
    }
    context.heartbeat_deadline_ =
        context.now_.after(context.settings_.heartbeat_micros_);
    // A peer that fell silent loses its routes without any message.
    context.routes_stale_ = true;
    heartbeat const message = make_heartbeat(context);
    for (host_id const& peer : context.peers_.index_.keys())
    {
        context.outbox_.push_back(send_peer{peer, message});
    }
}

} // namespace fescuevane::entry
