// Purpose: control of the targets of one process by tests.
#ifndef FESCUEVANE_TESTS_STAND_INS_TARGET_CONTROL_SERVICE_HPP
#define FESCUEVANE_TESTS_STAND_INS_TARGET_CONTROL_SERVICE_HPP

#include <faults.grpc.pb.h>

namespace fescuevane::stand_ins
{

class target_runtime;

class target_control_service final
    : public faults::v1::TargetControl::CallbackService
{
public:
    explicit target_control_service(target_runtime& runtime) : runtime_(runtime)
    {
    }

    grpc::ServerUnaryReactor* SetFaults(grpc::CallbackServerContext*    call,
                                        faults::v1::TargetFaults const* request,
                                        faults::v1::Done* reply) override;
    grpc::ServerUnaryReactor* Crash(grpc::CallbackServerContext*   call,
                                    faults::v1::TargetNames const* request,
                                    faults::v1::Done* reply) override;
    grpc::ServerUnaryReactor*
    DropStreams(grpc::CallbackServerContext*   call,
                faults::v1::TargetNames const* request,
                faults::v1::Done*              reply) override;
    grpc::ServerUnaryReactor*
    GetCounters(grpc::CallbackServerContext*       call,
                faults::v1::CountersRequest const* request,
                faults::v1::TargetCountersReply*   reply) override;

private:
    target_runtime& runtime_;
};

} // namespace fescuevane::stand_ins

#endif
