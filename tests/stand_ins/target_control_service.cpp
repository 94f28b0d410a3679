// Purpose: control of the targets of one process by tests.
#include "tests/stand_ins/target_control_service.hpp"

#include "tests/stand_ins/delayed_finish.hpp"
#include "tests/stand_ins/target_runtime.hpp"

#include <string>
#include <vector>

namespace fescuevane::stand_ins
{
namespace
{

std::vector<std::string> list_names(faults::v1::TargetNames const& message)
{
    return {message.targets().begin(), message.targets().end()};
}

void encode_counters(target_context const&       context,
                     faults::v1::TargetCounters& message)
{
    message.set_target(context.host_.target_.str());
    message.set_incarnation(context.incarnation_);
    message.set_epoch(context.epoch_);
    message.set_running(context.running_.index_.size());
    message.set_starts(context.counters_.starts_);
    message.set_ends(context.counters_.ends_);
    message.set_rejects(context.counters_.rejects_);
    message.set_overcommits(context.counters_.overcommits_);
    message.set_lapses(context.counters_.lapses_);
    message.set_fenced(context.counters_.fenced_);
}

} // namespace

grpc::ServerUnaryReactor*
target_control_service::SetFaults(grpc::CallbackServerContext*    call,
                                  faults::v1::TargetFaults const* request,
                                  faults::v1::Done* /*reply*/)
{
    target_switches const value{.fail_tasks_ = request->fail_tasks(),
                                .frozen_ = request->frozen(),
                                .leaving_ = request->leaving()};
    runtime_.change_targets(list_names(request->names()),
                            [&value](target_context& context, instant /*now*/)
                            {
                                set_switches(context, value);
                            });
    return finish_after(call, 0, grpc::Status::OK);
}

grpc::ServerUnaryReactor*
target_control_service::Crash(grpc::CallbackServerContext*   call,
                              faults::v1::TargetNames const* request,
                              faults::v1::Done* /*reply*/)
{
    runtime_.change_targets(list_names(*request), &crash_target);
    return finish_after(call, 0, grpc::Status::OK);
}

grpc::ServerUnaryReactor*
target_control_service::DropStreams(grpc::CallbackServerContext*   call,
                                    faults::v1::TargetNames const* request,
                                    faults::v1::Done* /*reply*/)
{
    runtime_.change_targets(list_names(*request),
                            [](target_context& context, instant /*now*/)
                            {
                                drop_streams(context);
                            });
    return finish_after(call, 0, grpc::Status::OK);
}

grpc::ServerUnaryReactor* target_control_service::GetCounters(
    grpc::CallbackServerContext* call,
    faults::v1::CountersRequest const* /*request*/,
    faults::v1::TargetCountersReply* reply)
{
    runtime_.change_targets({},
                            [reply](target_context& context, instant /*now*/)
                            {
                                encode_counters(context, *reply->add_targets());
                            });
    return finish_after(call, 0, grpc::Status::OK);
}

} // namespace fescuevane::stand_ins
