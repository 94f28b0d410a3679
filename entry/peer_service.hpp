// Purpose: the server of streams from other entry processes.
#ifndef FESCUEVANE_ENTRY_PEER_SERVICE_HPP
#define FESCUEVANE_ENTRY_PEER_SERVICE_HPP

#include "io/bounded_sockets.hpp"
#include "peer.grpc.pb.h"

#include <grpcpp/server_builder.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace fescuevane::io
{
class guarded_connection;
struct peer_limits;
} // namespace fescuevane::io

namespace fescuevane::entry
{

class event_queue;

class peer_service : public v1::Peer::CallbackService
{
public:
    // Throws `link_error` when the address can't be listened on.
    peer_service(std::string const& address, io::peer_limits const& limits,
                 int max_message_bytes, std::shared_ptr<event_queue> events,
                 std::function<void()> dropped);
    ~peer_service() override;
    peer_service(peer_service const&) = delete;
    peer_service& operator=(peer_service const&) = delete;

    grpc::ServerBidiReactor<v1::PeerBatch, v1::PeerBatch>*
    Exchange(grpc::CallbackServerContext* context) override;

private:
    void add_connection(int descriptor);
    void end_connection(std::uint64_t id, bool refused);

    std::shared_ptr<event_queue> const                              events_;
    std::unique_ptr<grpc::Server>                                   server_;
    std::unique_ptr<grpc::experimental::ExternalConnectionAcceptor> acceptor_;
    std::size_t const           max_message_bytes_;
    std::function<void()> const dropped_;
    std::map<std::uint64_t, std::unique_ptr<io::guarded_connection>>
                                connections_;
    std::uint64_t               last_connection_ = 0;
    std::shared_ptr<bool> const alive_;
    io::bounded_sockets         sockets_;
};

} // namespace fescuevane::entry

#endif
