// Purpose: the systems that watch heartbeats and contact.
#include "state/control.hpp"
#include "state/row_key.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::state
{
namespace
{

void expire_peer(control& context, std::size_t row)
{
    peer_table& peers = context.peers_;
    if (peers.live_[row] != 0 && peers.suspect_deadline_[row] <= context.now_)
    {
        peers.live_[row] = 0;
        peers.live_since_[row] = instant::never();
        context.shards_changed_ = true;
        context.acks_changed_ = true;
    }
}

// Hosts are replaced every day; rows of those that are gone would add up.
void forget_peer(control& context, std::size_t row)
{
    peer_table&      peers = context.peers_;
    host_id const&   host = peers.index_.key(row);
    commit_key const key{.purpose_ = commit_purpose::host, .host_ = host};
    if (peers.listed_[row] == 0 || peers.forget_deadline_[row] > context.now_ ||
        has_commit(context, key))
    {
        return;
    }
    peers.forget_deadline_[row] =
        context.now_.after(context.settings_.host_forget_micros_);
    if (rank_self(context, host.str()) == 0)
    {
        std::string const row_key = format_host_key(host);
        open_commit(context, key, {make_condition(context.rows_, row_key)},
                    {{row_key, "", true}});
    }
}

void tell_peers(control& context)
{
    if (!std::exchange(context.peers_changed_, false))
    {
        return;
    }
    peer_table const&         peers = context.peers_;
    std::vector<peer_address> listed;
    for (std::size_t row = 0; row < peers.index_.size(); ++row)
    {
        if (peers.listed_[row] != 0)
        {
            listed.push_back({peers.index_.key(row), peers.domain_[row],
                              peers.address_[row]});
        }
    }
    context.outbox_.push_back(peers_changed{std::move(listed)});
}

// Time at which this domain counts as cut off; `never` when it goes on serving.
instant find_cut_off_deadline(control const& context)
{
    auto const& domains = context.restricted_->domains_;
    auto const  own = domains.find(context.settings_.domain_);
    if (own == domains.end() || own->second.serves_when_cut_off_)
    {
        return instant::never();
    }
    return std::max(context.store_.contact_, context.foreign_contact_)
        .after(own->second.stop_after_micros_);
}

instant check_cut_off(control& context)
{
    instant const deadline = find_cut_off_deadline(context);
    bool const    cut_off = deadline <= context.now_;
    if (cut_off != context.cut_off_)
    {
        context.cut_off_ = cut_off;
        context.config_changed_ = true;
    }
    return cut_off ? instant::never() : deadline;
}

} // namespace

instant notice_pause(control& context)
{
    // The system runs several times within the suspicion bound. Half of the
    // bound without a tick means that the process was paused: heartbeats that
    // arrived meanwhile may still be unread.
    std::int64_t const bound = context.settings_.suspect_after_micros_;
    if (context.last_tick_.after(bound / 2) < context.now_)
    {
        for (std::size_t row = 0; row < context.peers_.index_.size(); ++row)
        {
            context.peers_.suspect_deadline_[row] = context.now_.after(bound);
        }
    }
    return context.now_.after(bound / 3);
}

instant check_peers(control& context)
{
    instant           next = instant::never();
    peer_table const& peers = context.peers_;
    for (std::size_t row = 0; row < peers.index_.size(); ++row)
    {
        expire_peer(context, row);
        forget_peer(context, row);
        if (peers.live_[row] != 0)
        {
            next = std::min(next, peers.suspect_deadline_[row]);
        }
        if (peers.listed_[row] != 0)
        {
            next = std::min(next, peers.forget_deadline_[row]);
        }
    }
    tell_peers(context);
    return std::min(next, check_cut_off(context));
}

} // namespace fescuevane::state
