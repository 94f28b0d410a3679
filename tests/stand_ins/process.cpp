// Purpose: what the stand-in processes have in common.
#include "tests/stand_ins/process.hpp"

#include "wire/bounds.hpp"

#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <chrono>
#include <csignal>
#include <stdexcept>

namespace fescuevane::stand_ins
{
namespace
{

sigset_t list_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void block_stop_signals()
{
    sigset_t const signals = list_stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_stop()
{
    sigset_t const signals = list_stop_signals();
    int            received = 0;
    sigwait(&signals, &received);
}

std::unique_ptr<grpc::Server>
start_server(std::string const&                 address,
             std::vector<grpc::Service*> const& services)
{
    int                 port = 0;
    grpc::ServerBuilder builder;
    builder.SetMaxReceiveMessageSize(wire::max_message_bytes);
    builder.SetMaxSendMessageSize(wire::max_message_bytes);
    // Two servers on one port would share its connections unnoticed.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    for (grpc::Service* service : services)
    {
        builder.RegisterService(service);
    }
    auto server = builder.BuildAndStart();
    if (!server || port == 0)
    {
        throw std::runtime_error("can't listen on " + address);
    }
    return server;
}

void stop_server(grpc::Server& server)
{
    server.Shutdown(std::chrono::system_clock::now());
}

} // namespace fescuevane::stand_ins
