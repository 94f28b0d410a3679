// Purpose: client of a target stand-in's control.
#include "tests/stand_ins/target_control.hpp"

#include "tests/stand_ins/control_call.hpp"

#include <faults.grpc.pb.h>

namespace fescuevane::stand_ins
{

using service = faults::v1::TargetControl::Stub;

struct target_control::stub
{
    std::unique_ptr<service> value_;
};

namespace
{

faults::v1::TargetNames encode_names(target_control::targets const& names)
{
    faults::v1::TargetNames message;
    for (target_id const& name : names)
    {
        message.add_targets(name.str());
    }
    return message;
}

target_status decode_status(faults::v1::TargetCounters const& message)
{
    return {.target_ = target_id(message.target()),
            .incarnation_ = message.incarnation(),
            .epoch_ = message.epoch(),
            .running_ = message.running(),
            .counters_ = {.starts_ = message.starts(),
                          .ends_ = message.ends(),
                          .rejects_ = message.rejects(),
                          .overcommits_ = message.overcommits(),
                          .lapses_ = message.lapses(),
                          .fenced_ = message.fenced()}};
}

} // namespace

target_control::target_control(std::string const& address)
    : stub_(new stub{faults::v1::TargetControl::NewStub(open_channel(address))})
{
}

target_control::~target_control() = default;

void target_control::set_switches(targets const&         names,
                                  target_switches const& value)
{
    faults::v1::TargetFaults request;
    *request.mutable_names() = encode_names(names);
    request.set_fail_tasks(value.fail_tasks_);
    request.set_frozen(value.frozen_);
    request.set_leaving(value.leaving_);
    call_control<faults::v1::Done>(*stub_->value_, &service::SetFaults,
                                   request);
}

void target_control::crash(targets const& names)
{
    call_control<faults::v1::Done>(*stub_->value_, &service::Crash,
                                   encode_names(names));
}

void target_control::drop_streams(targets const& names)
{
    call_control<faults::v1::Done>(*stub_->value_, &service::DropStreams,
                                   encode_names(names));
}

std::vector<target_status> target_control::list_status()
{
    auto const reply = call_control<faults::v1::TargetCountersReply>(
        *stub_->value_, &service::GetCounters, faults::v1::CountersRequest());
    std::vector<target_status> statuses;
    for (faults::v1::TargetCounters const& each : reply.targets())
    {
        statuses.push_back(decode_status(each));
    }
    return statuses;
}

} // namespace fescuevane::stand_ins
