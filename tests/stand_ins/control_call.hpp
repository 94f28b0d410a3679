// Purpose: detail of the control clients: one call with a time limit.
#ifndef FESCUEVANE_TESTS_STAND_INS_CONTROL_CALL_HPP
#define FESCUEVANE_TESTS_STAND_INS_CONTROL_CALL_HPP

#include "tests/stand_ins/control_error.hpp"

#include <grpcpp/channel.h>
#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

#include <chrono>
#include <memory>
#include <string>

namespace fescuevane::stand_ins
{

inline std::shared_ptr<grpc::Channel> open_channel(std::string const& address)
{
    return grpc::CreateChannel(address, grpc::InsecureChannelCredentials());
}

// Waits for a server that is still starting.
template <typename Reply, typename Stub, typename Request>
Reply call_control(Stub& stub,
                   grpc::Status (Stub::*method)(grpc::ClientContext*,
                                                Request const&, Reply*),
                   Request const& request)
{
    constexpr std::chrono::seconds time_limit(5);
    grpc::ClientContext            context;
    context.set_wait_for_ready(true);
    context.set_deadline(std::chrono::system_clock::now() + time_limit);
    Reply              reply;
    grpc::Status const status = (stub.*method)(&context, request, &reply);
    if (!status.ok())
    {
        throw control_error("control call: " + status.error_message());
    }
    return reply;
}

} // namespace fescuevane::stand_ins

#endif
