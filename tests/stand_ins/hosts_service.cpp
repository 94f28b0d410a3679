// Purpose: platform.v1.Hosts over the platform context.
#include "tests/stand_ins/hosts_service.hpp"

#include "tests/stand_ins/clock.hpp"
#include "tests/stand_ins/delayed_finish.hpp"
#include "tests/stand_ins/host_codec.hpp"
#include "tests/stand_ins/shared_platform.hpp"

#include <mutex>

namespace fescuevane::stand_ins
{

grpc::ServerUnaryReactor*
hosts_service::List(grpc::CallbackServerContext* call,
                    platform::v1::ListRequest const* /*request*/,
                    platform::v1::ListReply* reply)
{
    std::unique_lock    lock(shared_.mutex_);
    std::uint32_t const delay = shared_.context_.faults_.delay_millis_;
    auto const hosts = list_platform_hosts(shared_.context_, read_clock());
    lock.unlock();
    if (!hosts)
    {
        return finish_after(call, delay,
                            {grpc::StatusCode::UNAVAILABLE, "injected fault"});
    }
    for (host const& each : *hosts)
    {
        encode_host(each, *reply->add_hosts());
    }
    return finish_after(call, delay, grpc::Status::OK);
}

} // namespace fescuevane::stand_ins
