// Purpose: the server of streams from other entry processes.
#include "entry/peer_service.hpp"

#include "entry/channel.hpp"
#include "entry/event_queue.hpp"
#include "entry/link_codec.hpp"
#include "entry/link_error.hpp"
#include "wire/wire.hpp"

#include <grpcpp/grpcpp.h>
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

peer_service::peer_service(std::string const&           address,
                           std::shared_ptr<event_queue> events)
    : events_(std::move(events))
{
    grpc::ServerBuilder builder;
    int                 port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.SetMaxReceiveMessageSize(wire::max_message_bytes);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, min_ping_millis);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    if (server_ == nullptr || port == 0)
    {
        throw link_error("can't listen on peer address " + address);
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
