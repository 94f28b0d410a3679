// Purpose: control of the platform stand-in by tests.
#include "tests/stand_ins/platform_control_service.hpp"

#include "tests/stand_ins/clock.hpp"
#include "tests/stand_ins/delayed_finish.hpp"
#include "tests/stand_ins/host_codec.hpp"
#include "tests/stand_ins/shared_platform.hpp"

#include <mutex>

namespace fescuevane::stand_ins
{

grpc::ServerUnaryReactor*
platform_control_service::SetFaults(grpc::CallbackServerContext*      call,
                                    faults::v1::PlatformFaults const* request,
                                    faults::v1::Done* /*reply*/)
{
    std::lock_guard const lock(shared_.mutex_);
    shared_.context_.faults_ = {.store_down_ = request->store_down(),
                                .hosts_down_ = request->hosts_down(),
                                .delay_millis_ = request->delay_millis(),
                                .lose_next_commits_ =
                                    request->lose_next_commits(),
                                .lose_fraction_ = request->lose_fraction()};
    shared_.context_.random_.seed(request->seed());
    return finish_after(call, 0, grpc::Status::OK);
}

grpc::ServerUnaryReactor*
platform_control_service::ChangeHost(grpc::CallbackServerContext*  call,
                                     faults::v1::HostChange const* request,
                                     faults::v1::Done* /*reply*/)
{
    std::lock_guard const lock(shared_.mutex_);
    host const            value = decode_host(request->host());
    if (request->remove())
    {
        remove_host(shared_.context_.hosts_, read_clock(), value.target_);
    }
    else
    {
        put_host(shared_.context_.hosts_, read_clock(), value);
    }
    return finish_after(call, 0, grpc::Status::OK);
}

grpc::ServerUnaryReactor*
platform_control_service::MarkLeaving(grpc::CallbackServerContext*    call,
                                      faults::v1::LeavingHosts const* request,
                                      faults::v1::Done* /*reply*/)
{
    std::lock_guard const lock(shared_.mutex_);
    for (std::string const& target : request->targets())
    {
        mark_host_leaving(shared_.context_.hosts_, read_clock(),
                          target_id(target), request->leaving());
    }
    return finish_after(call, 0, grpc::Status::OK);
}

grpc::ServerUnaryReactor*
platform_control_service::SetHostLag(grpc::CallbackServerContext* call,
                                     faults::v1::HostLag const*   request,
                                     faults::v1::Done* /*reply*/)
{
    std::lock_guard const lock(shared_.mutex_);
    shared_.context_.hosts_.lag_micros_ = request->millis() * micros_per_milli;
    return finish_after(call, 0, grpc::Status::OK);
}

grpc::ServerUnaryReactor* platform_control_service::GetCounters(
    grpc::CallbackServerContext* call,
    faults::v1::CountersRequest const* /*request*/,
    faults::v1::PlatformCounters* reply)
{
    std::lock_guard const    lock(shared_.mutex_);
    platform_counters const& counters = shared_.context_.counters_;
    reply->set_reads(counters.reads_);
    reply->set_rows_read(counters.rows_read_);
    reply->set_commits(counters.commits_);
    reply->set_commits_applied(counters.commits_applied_);
    reply->set_commits_conflicted(counters.commits_conflicted_);
    reply->set_commits_repeated(counters.commits_repeated_);
    reply->set_rows_written(counters.rows_written_);
    reply->set_bytes_written(counters.bytes_written_);
    reply->set_calls_failed(counters.calls_failed_);
    reply->set_replies_lost(counters.replies_lost_);
    reply->set_host_lists(counters.host_lists_);
    return finish_after(call, 0, grpc::Status::OK);
}

} // namespace fescuevane::stand_ins
