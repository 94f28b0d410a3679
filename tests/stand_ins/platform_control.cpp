// Purpose: client of the platform stand-in's control.
#include "tests/stand_ins/platform_control.hpp"

#include "tests/stand_ins/control_call.hpp"
#include "tests/stand_ins/host_codec.hpp"

#include <faults.grpc.pb.h>

namespace fescuevane::stand_ins
{

using service = faults::v1::PlatformControl::Stub;

struct platform_control::stub
{
    std::unique_ptr<service> value_;
};

platform_control::platform_control(std::string const& address)
    : stub_(
          new stub{faults::v1::PlatformControl::NewStub(open_channel(address))})
{
}

platform_control::~platform_control() = default;

void platform_control::set_faults(platform_faults const& faults,
                                  std::uint64_t          seed)
{
    faults::v1::PlatformFaults request;
    request.set_store_down(faults.store_down_);
    request.set_hosts_down(faults.hosts_down_);
    request.set_delay_millis(faults.delay_millis_);
    request.set_lose_next_commits(faults.lose_next_commits_);
    request.set_lose_fraction(faults.lose_fraction_);
    request.set_seed(seed);
    call_control<faults::v1::Done>(*stub_->value_, &service::SetFaults,
                                   request);
}

void platform_control::put_host(host const& value)
{
    faults::v1::HostChange request;
    encode_host(value, *request.mutable_host());
    call_control<faults::v1::Done>(*stub_->value_, &service::ChangeHost,
                                   request);
}

void platform_control::remove_host(target_id const& target)
{
    faults::v1::HostChange request;
    request.mutable_host()->set_target(target.str());
    request.set_remove(true);
    call_control<faults::v1::Done>(*stub_->value_, &service::ChangeHost,
                                   request);
}

void platform_control::mark_leaving(std::vector<target_id> const& targets,
                                    bool                          leaving)
{
    faults::v1::LeavingHosts request;
    for (target_id const& target : targets)
    {
        request.add_targets(target.str());
    }
    request.set_leaving(leaving);
    call_control<faults::v1::Done>(*stub_->value_, &service::MarkLeaving,
                                   request);
}

void platform_control::set_host_lag(std::uint32_t millis)
{
    faults::v1::HostLag request;
    request.set_millis(millis);
    call_control<faults::v1::Done>(*stub_->value_, &service::SetHostLag,
                                   request);
}

platform_counters platform_control::read_counters()
{
    auto const reply = call_control<faults::v1::PlatformCounters>(
        *stub_->value_, &service::GetCounters, faults::v1::CountersRequest());
    return {.reads_ = reply.reads(),
            .rows_read_ = reply.rows_read(),
            .commits_ = reply.commits(),
            .commits_applied_ = reply.commits_applied(),
            .commits_conflicted_ = reply.commits_conflicted(),
            .commits_repeated_ = reply.commits_repeated(),
            .rows_written_ = reply.rows_written(),
            .bytes_written_ = reply.bytes_written(),
            .calls_failed_ = reply.calls_failed(),
            .replies_lost_ = reply.replies_lost(),
            .host_lists_ = reply.host_lists()};
}

} // namespace fescuevane::stand_ins
