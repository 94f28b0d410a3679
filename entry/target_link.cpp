// Purpose: streams to the targets of owned shards.
#include "entry/target_link.hpp"

#include "core/core.hpp"
#include "entry/attach_target.hpp"
#include "entry/channel.hpp"
#include "entry/event_queue.hpp"
#include "entry/link_codec.hpp"
#include "entry/target_reported.hpp"
#include "target.grpc.pb.h"
#include "wire/wire.hpp"

#include <utility>

namespace fescuevane::entry
{
namespace
{

target_reported decode_report(v1::TargetBatch const& batch,
                              target_id const& target, std::uint64_t attachment)
{
    std::vector<decide::event> events;
    for (v1::TaskStatus const& status : batch.tasks())
    {
        wire::append_events(status, target, read_clock(), events);
    }
    return {.target_ = target,
            .attachment_ = attachment,
            .incarnation_ = batch.incarnation(),
            .clock_micros_ = batch.clock_micros(),
            .epoch_ = batch.epoch(),
            .fenced_ = batch.fenced(),
            .snapshot_ = batch.snapshot(),
            .leaving_ = batch.leaving(),
            .events_ = std::move(events)};
}

} // namespace

target_link::target_link(host_id owner, std::shared_ptr<event_queue> events)
    : owner_(std::move(owner)), events_(std::move(events))
{
}

target_link::~target_link()
{
    for (auto& [target, to] : connections_)
    {
        to.stream_->cancel();
    }
}

void target_link::attach(attach_target const& order)
{
    detach(order.target_);
    target_id const                    target = order.target_;
    std::uint64_t const                attachment = order.attachment_;
    std::shared_ptr<event_queue> const events = events_;
    auto const read = [events, target, attachment](v1::TargetBatch const& batch)
    {
        try
        {
            events->push(decode_report(batch, target, attachment));
        }
        catch (wire::decode_error const&)
        {
            // The batch can't be trusted; a new link starts with a snapshot.
            events->push(target_disconnected{target, attachment});
        }
    };
    auto const close = [events, target, attachment]
    {
        events->push(target_disconnected{target, attachment});
    };
    connection const to{stream::make(open_channel(order.address_), read, close),
                        order.shard_, order.epoch_, attachment};
    std::unique_ptr<v1::Target::Stub> const stub =
        v1::Target::NewStub(to.stream_->channel());
    stub->async()->Attach(&to.stream_->context(), to.stream_.get());
    to.stream_->start();
    v1::OwnerBatch first = make_batch(to); // asks for the snapshot
    first.set_lease_micros(order.lease_micros_);
    to.stream_->write(std::move(first));
    connections_.insert_or_assign(target, to);
}

void target_link::detach(target_id const& target)
{
    auto const found = connections_.find(target);
    if (found != connections_.end())
    {
        found->second.stream_->cancel();
        connections_.erase(found);
    }
}

void target_link::send(send_target const& order, instant now)
{
    auto const found = connections_.find(order.target_);
    if (found != connections_.end())
    {
        v1::OwnerBatch batch = make_batch(found->second);
        encode_orders(order, now, batch);
        found->second.stream_->write(std::move(batch));
    }
}

v1::OwnerBatch target_link::make_batch(connection const& to) const
{
    v1::OwnerBatch batch;
    batch.set_owner(owner_.str());
    batch.set_shard(format_key(to.shard_));
    batch.set_epoch(to.epoch_);
    batch.set_attachment(to.attachment_);
    return batch;
}

} // namespace fescuevane::entry
