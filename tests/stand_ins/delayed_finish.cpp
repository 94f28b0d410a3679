// Purpose: ends a unary call after a delay without holding a thread.
#include "tests/stand_ins/delayed_finish.hpp"

#include <grpcpp/alarm.h>

#include <chrono>
#include <memory>
#include <utility>

namespace fescuevane::stand_ins
{

grpc::ServerUnaryReactor* finish_after(grpc::CallbackServerContext* call,
                                       std::uint32_t delay_millis,
                                       grpc::Status  status)
{
    grpc::ServerUnaryReactor* const reactor = call->DefaultReactor();
    if (delay_millis == 0)
    {
        reactor->Finish(std::move(status));
        return reactor;
    }
    // The alarm is kept alive by its own callback.
    auto const alarm = std::make_shared<grpc::Alarm>();
    alarm->Set(std::chrono::system_clock::now() +
                   std::chrono::milliseconds(delay_millis),
               [alarm, reactor, status](bool /*expired*/)
               {
                   reactor->Finish(status);
               });
    return reactor;
}

} // namespace fescuevane::stand_ins
