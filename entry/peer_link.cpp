// Purpose: streams to the other entry processes.
#include "entry/peer_link.hpp"

#include "entry/channel.hpp"
#include "entry/connect_peers.hpp"
#include "entry/event_queue.hpp"
#include "entry/link_codec.hpp"
#include "peer.grpc.pb.h"

#include <set>

namespace fescuevane::entry
{
namespace
{

// A peer that takes no batches for this long has stopped or is cut off; the
// node recovers what was waiting.
constexpr std::size_t max_waiting_batches = 4096;

} // namespace

peer_link::peer_link(settings const&              values,
                     std::shared_ptr<event_queue> events)
    : settings_(values), events_(std::move(events))
{
}

peer_link::~peer_link()
{
    for (auto& [host, to] : connections_)
    {
        if (to.stream_ != nullptr)
        {
            to.stream_->cancel();
        }
    }
}

void peer_link::set_peers(connect_peers const& order)
{
    std::set<host_id> wanted;
    for (state::peer_address const& peer : order.peers_)
    {
        wanted.insert(peer.host_);
        connection& to = connections_[peer.host_];
        if (to.address_ != peer.address_ && to.stream_ != nullptr)
        {
            to.stream_->cancel();
            to.stream_ = nullptr;
        }
        to.address_ = peer.address_;
    }
    std::erase_if(connections_,
                  [&wanted](auto& entry)
                  {
                      bool const gone = !wanted.contains(entry.first);
                      if (gone && entry.second.stream_ != nullptr)
                      {
                          entry.second.stream_->cancel();
                      }
                      return gone;
                  });
}

void peer_link::add(host_id const& host, peer_message const& message,
                    instant now)
{
    auto const found = connections_.find(host);
    if (found != connections_.end())
    {
        append_message(message, now, found->second.batch_);
        found->second.used_ = true;
    }
}

void peer_link::flush()
{
    for (auto& [host, to] : connections_)
    {
        if (!to.used_)
        {
            continue;
        }
        if (to.stream_ != nullptr &&
            (!*to.open_ || to.stream_->waiting() > max_waiting_batches))
        {
            to.stream_->cancel();
            to.stream_ = nullptr;
            events_->push(peer_lost{host});
        }
        if (to.stream_ == nullptr)
        {
            open(host, to);
        }
        to.batch_.set_host(settings_.state_.host_.str());
        to.batch_.set_incarnation(settings_.state_.incarnation_);
        to.stream_->write(std::move(to.batch_));
        to.batch_ = v1::PeerBatch();
        to.used_ = false;
    }
}

void peer_link::open(host_id const& /*host*/, connection& to)
{
    auto const open = std::make_shared<std::atomic<bool>>(true);
    to.open_ = open;
    to.stream_ = stream::make(
        open_channel(to.address_), [](v1::PeerBatch const&) {},
        [open]
        {
            open->store(false);
        });
    std::unique_ptr<v1::Peer::Stub> const stub =
        v1::Peer::NewStub(to.stream_->channel());
    stub->async()->Exchange(&to.stream_->context(), to.stream_.get());
    to.stream_->start();
}

} // namespace fescuevane::entry
