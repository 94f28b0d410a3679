// Purpose: the server of streams from other entry processes.
#include "entry/peer_service.hpp"

#include "entry/channel.hpp"
#include "entry/event_queue.hpp"
#include "entry/link_codec.hpp"
#include "entry/link_error.hpp"
#include "io/guarded_connection.hpp"
#include "io/peer_limits.hpp"
#include "wire/wire.hpp"

#include <grpcpp/grpcpp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <algorithm>
#include <array>
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
    , max_message_bytes_(static_cast<std::size_t>(max_message_bytes))
    , dropped_(std::move(dropped))
    , alive_(std::make_shared<bool>(true))
    , sockets_(
          limits.max_connections_,
          [this](int descriptor)
          {
              add_connection(descriptor);
          },
          dropped_)
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
    // The library's quota is a target for what is read but not handled yet. It
    // has room for two of the largest messages, since it cancels calls at its
    // bound.
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
    *alive_ = false;
    server_->Shutdown(std::chrono::system_clock::now());
}

grpc::ServerBidiReactor<v1::PeerBatch, v1::PeerBatch>*
peer_service::Exchange(grpc::CallbackServerContext* /*context*/)
{
    return new stream_reader(events_);
}

// The library gets one end of a pair of sockets, and the client's bytes once
// they are known not to begin a message beyond the limit.
void peer_service::add_connection(int descriptor)
{
    std::array<int, 2> ends{};
    if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0,
                   ends.data()) != 0)
    {
        close(descriptor);
        return;
    }
    std::uint64_t const id = ++last_connection_;
    connections_.emplace(id, std::make_unique<io::guarded_connection>(
                                 descriptor, ends[0], max_message_bytes_,
                                 [this, id, alive = alive_](bool refused)
                                 {
                                     if (*alive)
                                     {
                                         end_connection(id, refused);
                                     }
                                 }));
    grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters
        connection;
    connection.fd = ends[1];
    acceptor_->HandleNewConnection(&connection);
}

void peer_service::end_connection(std::uint64_t id, bool refused)
{
    connections_.erase(id);
    if (refused)
    {
        dropped_();
    }
}

} // namespace fescuevane::entry
