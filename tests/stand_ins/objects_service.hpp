// Purpose: platform.v1.Objects over the platform context.
#ifndef FESCUEVANE_TESTS_STAND_INS_OBJECTS_SERVICE_HPP
#define FESCUEVANE_TESTS_STAND_INS_OBJECTS_SERVICE_HPP

#include <platform.grpc.pb.h>

namespace fescuevane::stand_ins
{

struct shared_platform;

class objects_service final : public platform::v1::Objects::CallbackService
{
public:
    explicit objects_service(shared_platform& shared) : shared_(shared) {}

    grpc::ServerUnaryReactor* Put(grpc::CallbackServerContext*    call,
                                  platform::v1::PutRequest const* request,
                                  platform::v1::PutReply* reply) override;
    grpc::ServerUnaryReactor* Get(grpc::CallbackServerContext*    call,
                                  platform::v1::GetRequest const* request,
                                  platform::v1::GetReply* reply) override;

private:
    shared_platform& shared_;
};

} // namespace fescuevane::stand_ins

#endif
