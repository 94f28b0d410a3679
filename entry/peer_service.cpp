// Purpose: the server of streams from other entry processes.
#include "entry/peer_service.hpp"

#include "entry/channel.hpp"
#include "entry/event_queue.hpp"
#include "entry/link_codec.hpp"
#include "entry/link_error.hpp"
#include "io/peer_limits.hpp"
#include "wire/wire.hpp"

#include <grpcpp/grpcpp.h>
#include <algorithm>
#include <chrono>

namespace fescuevane::entry
{
namespace
{

// Clients ping every two seconds; the default would close their connections.
constexpr int min_ping_millis = 1000;

// Reads one stream. Deletes itself when the stream is done.
class stream_reader
    : public grpc::ServerBidiReactor<v1::PeerBatch, v1::PeerBatch>
{
public:
    explicit stream_reader(std::shared_ptr<event_queue> events)
        : events_(std::move(events))
    {
        StartRead(&batch_);
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
        {
            Finish(grpc::Status::OK);
            return;
        }
        try
        {
            push_messages();
        }
        catch (wire::decode_error const& error)
        {
            Finish(
                grpc::Status(grpc::StatusCode::INVALID_ARGUMENT, error.what()));
            return;
        }
        StartRead(&batch_);
    }

    void OnDone() override { delete this; }

private:
    void push_messages()
    {
        host_id const from(batch_.host());
        for (peer_message const& message :
             decode_messages(batch_, read_clock()))
        {
            events_->push(peer_received{from, batch_.incarnation(), message});
        }
    }

    std::shared_ptr<event_queue> const events_;
    v1::PeerBatch                      batch_;
};

} // namespace

peer_service::peer_service(std::string const&     address,
                           io::peer_limits const& limits, int max_message_bytes,
                           std::shared_ptr<event_queue> events,
                           std::function<void()>        dropped)
    : events_(std::move(events))
    , sockets_(
          limits.max_connections_,
          [this](int descriptor)
          {
              grpc::experimental::ExternalConnectionAcceptor::
                  NewConnectionParameters connection;
              connection.fd = descriptor;
              acceptor_->HandleNewConnection(&connection);
          },
          std::move(dropped))
{
    try
    {
        sockets_.listen(address);
    }
    catch (std::runtime_error const& error)
    {
        throw link_error(error.what());
    }
    grpc::ServerBuilder builder;
    acceptor_ = builder.experimental().AddExternalConnectionAcceptor(
        grpc::ServerBuilder::experimental_type::ExternalConnectionType::FROM_FD,
        grpc::InsecureServerCredentials());
    // The library's quota bounds what is read but not handled yet. It has room
    // for two of the largest messages, since it cancels calls at its bound.
    builder.SetResourceQuota(grpc::ResourceQuota("peers").Resize(
        std::max(limits.max_memory_bytes_,
                 2 * static_cast<std::size_t>(max_message_bytes))));
    // Estimates of the bandwidth raise what each connection may send ahead to
    // megabytes.
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, min_ping_millis);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    if (server_ == nullptr)
    {
        throw link_error("can't start the server of " + address);
    }
}

peer_service::~peer_service()
{
    server_->Shutdown(std::chrono::system_clock::now());
}

grpc::ServerBidiReactor<v1::PeerBatch, v1::PeerBatch>*
peer_service::Exchange(grpc::CallbackServerContext* /*context*/)
{
    return new stream_reader(events_);
}

} // namespace fescuevane::entry
