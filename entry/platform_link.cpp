// Purpose: calls to the platform.
#include "entry/platform_link.hpp"

#include "entry/channel.hpp"
#include "entry/event_queue.hpp"
#include "entry/link_codec.hpp"
#include "wire/wire.hpp"

#include <grpcpp/grpcpp.h>
#include <chrono>

namespace fescuevane::entry
{
namespace
{

// What has to live until the reply of one call.
template <typename Request, typename Reply>
struct pending_call
{
    grpc::ClientContext context_;
    Request             request_;
    Reply               reply_;

    explicit pending_call(std::int64_t timeout_micros)
    {
        context_.set_deadline(std::chrono::system_clock::now() +
                              std::chrono::microseconds(timeout_micros));
    }
};

// Pushes what `decode` makes of a good reply, else `failure`.
template <typename Decode>
void push_reply(event_queue& events, grpc::Status const& status,
                Decode const& decode, std::uint64_t request)
{
    if (status.ok())
    {
        try
        {
            events.push(decode());
            return;
        }
        catch (wire::decode_error const&)
        {
            // Handled like a lost reply: the call is made again.
        }
    }
    events.push(state::store_failed{request});
}

} // namespace

platform_link::platform_link(std::string const&           address,
                             std::int64_t                 timeout_micros,
                             std::shared_ptr<event_queue> events)
    : timeout_micros_(timeout_micros)
    , events_(std::move(events))
    , tables_(platform::v1::Tables::NewStub(open_channel(address)))
    , hosts_(platform::v1::Hosts::NewStub(open_channel(address)))
{
}

void platform_link::read(state::read_rows const& order)
{
    using call_type =
        pending_call<platform::v1::ReadRequest, platform::v1::ReadReply>;
    auto const call = std::make_shared<call_type>(timeout_micros_);
    wire::encode_read(order, call->request_);
    std::uint64_t const                request = order.request_;
    std::shared_ptr<event_queue> const events = events_;
    tables_->async()->Read(&call->context_, &call->request_, &call->reply_,
                           [call, request, events](grpc::Status const& status)
                           {
                               push_reply(
                                   *events, status,
                                   [&]
                                   {
                                       return wire::decode_read_reply(
                                           call->reply_, request);
                                   },
                                   request);
                           });
}

void platform_link::commit(state::commit_rows const& order)
{
    using call_type =
        pending_call<platform::v1::CommitRequest, platform::v1::CommitReply>;
    auto const call = std::make_shared<call_type>(timeout_micros_);
    wire::encode_commit(order, call->request_);
    std::uint64_t const                request = order.request_;
    std::shared_ptr<event_queue> const events = events_;
    tables_->async()->Commit(&call->context_, &call->request_, &call->reply_,
                             [call, request, events](grpc::Status const& status)
                             {
                                 push_reply(
                                     *events, status,
                                     [&]
                                     {
                                         return wire::decode_commit_reply(
                                             call->reply_, request);
                                     },
                                     request);
                             });
}

void platform_link::list_hosts()
{
    using call_type =
        pending_call<platform::v1::ListRequest, platform::v1::ListReply>;
    auto const call = std::make_shared<call_type>(timeout_micros_);
    std::shared_ptr<event_queue> const events = events_;
    hosts_->async()->List(&call->context_, &call->request_, &call->reply_,
                          [call, events](grpc::Status const& status)
                          {
                              if (status.ok())
                              {
                                  events->push(decode_hosts(call->reply_));
                              }
                          });
}

} // namespace fescuevane::entry
