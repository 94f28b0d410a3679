// Purpose: the system that applies posted events, one function a kind, and the
// system that runs the control state and carries out its commands.
//
// Index of sections
//   1. Events
//   2. Control state
#include "entry/node_tables.hpp"
#include "state/config.hpp"

#include <utility>

namespace fescuevane::entry
{

// 1. Events

namespace
{

void post_to_control(node& context, state::event input)
{
    state::post_event(*context.control_, std::move(input));
    context.control_dirty_ = true;
}

void apply(node& context, submit_opened const& input)
{
    open_submit(context, input);
}

void apply(node& context, lookup_opened const& input)
{
    open_lookup(context, input);
}

void apply(node& context, cancel_opened const& input)
{
    open_cancel(context, input);
}

void apply(node& context, ticket_opened const& input)
{
    open_ticket(context, input);
}

void apply(node& context, call_abandoned const& input)
{
    abandon_call(context, input.call_);
}

void apply(node& context, peer_received const& input)
{
    take_peer(context, input);
}

void apply(node& context, peer_lost const& /*input*/)
{
    // Calls are passed again when another owner is known; until then the peer
    // may still answer over a new link.
    context.routes_stale_ = true;
}

void apply(node& context, target_reported const& input)
{
    take_report(context, input);
}

void apply(node& context, target_disconnected const& input)
{
    take_disconnect(context, input);
}

// Notes each change of the list with the time of its change.
void apply(node& context, hosts_listed const& input)
{
    host_table& table = context.hosts_;
    for (listed_host const& host : input.hosts_)
    {
        if (auto const row = table.index_.find(host.target_))
        {
            table.host_.replace(*row, host);
            table.gone_deadline_[*row] = instant::never();
            continue;
        }
        table.index_.append(host.target_);
        table.host_.append(host);
        table.gone_deadline_.append(instant::never());
    }
    std::unordered_set<target_id> present;
    for (listed_host const& host : input.hosts_)
    {
        present.insert(host.target_);
    }
    for (std::size_t row = 0; row < table.index_.size(); ++row)
    {
        if (!present.contains(table.index_.key(row)) &&
            table.gone_deadline_[row] == instant::never())
        {
            table.gone_deadline_[row] =
                context.now_.after(context.settings_.lease_micros_);
        }
    }
    context.hosts_read_ = context.now_;
    context.session_deadline_ = context.now_;
}

void apply(node& context, state::rows_read const& input)
{
    context.store_was_read_ = true;
    post_to_control(context, input);
}

void apply(node& context, state::commit_ended const& input)
{
    post_to_control(context, input);
}

void apply(node& context, state::store_failed const& input)
{
    count(context, counter::store_failures);
    post_to_control(context, input);
}

void apply(node& context, stop_wanted const& /*input*/)
{
    if (!context.stopping_)
    {
        context.stopping_ = true;
        context.stop_deadline_ =
            context.now_.after(context.settings_.stop_grace_micros_);
        context.heartbeat_deadline_ = context.now_;
        post_to_control(context, state::stop_requested{});
        context.outbox_.push_back(state_noted{"stopping", ""});
    }
}

} // namespace

void apply_inbox(node& context)
{
    std::vector<event> const inbox = std::exchange(context.inbox_, {});
    for (event const& input : inbox)
    {
        std::visit(
            [&context](auto const& value)
            {
                apply(context, value);
            },
            input);
    }
}

// 2. Control state

namespace
{

void obey(node& context, state::read_rows const& order)
{
    count(context, counter::store_reads);
    context.outbox_.push_back(order);
}

void obey(node& context, state::commit_rows const& order)
{
    count(context, counter::store_commits);
    context.outbox_.push_back(order);
}

void obey(node& context, state::shard_acquired const& order)
{
    acquire_shard(context, order);
}

void obey(node& context, state::shard_released const& order)
{
    release_shard(context, order.shard_);
}

void obey(node& context, state::config_changed const& order)
{
    if (!context.config_ || order.config_->number_ != context.config_->number_)
    {
        count(context, counter::tickets_accepted);
    }
    context.config_ = order.config_;
    for (std::size_t row = 0; row < context.drivers_.index_.size(); ++row)
    {
        set_policy(context, row);
    }
}

void obey(node& context, state::allotments_changed const& order)
{
    if (auto const row = context.drivers_.index_.find(order.shard_))
    {
        context.drivers_.allotments_[*row] = order.teams_;
        set_policy(context, *row);
    }
}

void obey(node& context, state::job_recorded const& order)
{
    take_recorded(context, order);
}

void obey(node& context, state::grants_recorded const& order)
{
    take_recorded(context, order);
}

void obey(node& context, state::peers_changed const& order)
{
    set_peers(context, order);
}

void obey(node& context, state::ticket_progress const& order)
{
    auto const row = context.calls_.index_.find(order.call_);
    if (!row)
    {
        return;
    }
    if (order.stage_ == state::ticket_stage::committed)
    {
        context.ticket_calls_.erase(order.call_);
        context.ticket_calls_.emplace(order.call_, order);
        return;
    }
    context.outbox_.push_back(ticket_told{order});
    context.ticket_calls_.erase(order.call_);
    remove_routed_call(context.calls_, *row);
}

} // namespace

void run_control(node& context)
{
    while (context.control_dirty_ ||
           state::next_deadline(*context.control_) <= context.now_)
    {
        context.control_dirty_ = false;
        std::vector<state::command> orders;
        state::run_tick(*context.control_, context.now_, orders);
        for (state::command const& order : orders)
        {
            std::visit(
                [&context](auto const& value)
                {
                    obey(context, value);
                },
                order);
        }
        if (orders.empty())
        {
            break;
        }
    }
}

} // namespace fescuevane::entry
