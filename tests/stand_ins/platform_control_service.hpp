// Purpose: control of the platform stand-in by tests.
#ifndef FESCUEVANE_TESTS_STAND_INS_PLATFORM_CONTROL_SERVICE_HPP
#define FESCUEVANE_TESTS_STAND_INS_PLATFORM_CONTROL_SERVICE_HPP

#include <faults.grpc.pb.h>

namespace fescuevane::stand_ins
{

struct shared_platform;

class platform_control_service final
    : public faults::v1::PlatformControl::CallbackService
{
public:
    explicit platform_control_service(shared_platform& shared) : shared_(shared)
    {
    }

    grpc::ServerUnaryReactor*
                              SetFaults(grpc::CallbackServerContext*      call,
                                        faults::v1::PlatformFaults const* request,
                                        faults::v1::Done*                 reply) override;
    grpc::ServerUnaryReactor* ChangeHost(grpc::CallbackServerContext*  call,
                                         faults::v1::HostChange const* request,
                                         faults::v1::Done* reply) override;
    grpc::ServerUnaryReactor*
                              MarkLeaving(grpc::CallbackServerContext*    call,
                                          faults::v1::LeavingHosts const* request,
                                          faults::v1::Done*               reply) override;
    grpc::ServerUnaryReactor* SetHostLag(grpc::CallbackServerContext* call,
                                         faults::v1::HostLag const*   request,
                                         faults::v1::Done* reply) override;
    grpc::ServerUnaryReactor*
    GetCounters(grpc::CallbackServerContext*       call,
                faults::v1::CountersRequest const* request,
                faults::v1::PlatformCounters*      reply) override;

private:
    shared_platform& shared_;
};

} // namespace fescuevane::stand_ins

#endif
