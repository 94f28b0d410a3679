// Purpose: ends a unary call after a delay without holding a thread.
#ifndef FESCUEVANE_TESTS_STAND_INS_DELAYED_FINISH_HPP
#define FESCUEVANE_TESTS_STAND_INS_DELAYED_FINISH_HPP

#include <cstdint>

#include <grpcpp/server_context.h>
#include <grpcpp/support/server_callback.h>
#include <grpcpp/support/status.h>

namespace fescuevane::stand_ins
{

grpc::ServerUnaryReactor* finish_after(grpc::CallbackServerContext* call,
                                       std::uint32_t delay_millis,
                                       grpc::Status  status);

} // namespace fescuevane::stand_ins

#endif
