// Purpose: platform.v1.Hosts over the platform context.
#ifndef FESCUEVANE_TESTS_STAND_INS_HOSTS_SERVICE_HPP
#define FESCUEVANE_TESTS_STAND_INS_HOSTS_SERVICE_HPP

#include <platform.grpc.pb.h>

namespace fescuevane::stand_ins
{

struct shared_platform;

class hosts_service final : public platform::v1::Hosts::CallbackService
{
public:
    explicit hosts_service(shared_platform& shared) : shared_(shared) {}

    grpc::ServerUnaryReactor* List(grpc::CallbackServerContext*     call,
                                   platform::v1::ListRequest const* request,
                                   platform::v1::ListReply* reply) override;

private:
    shared_platform& shared_;
};

} // namespace fescuevane::stand_ins

#endif
