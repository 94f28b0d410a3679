// Purpose: platform.v1.Tables over the platform context.
#ifndef FESCUEVANE_TESTS_STAND_INS_TABLES_SERVICE_HPP
#define FESCUEVANE_TESTS_STAND_INS_TABLES_SERVICE_HPP

#include <platform.grpc.pb.h>

namespace fescuevane::stand_ins
{

struct shared_platform;

class tables_service final : public platform::v1::Tables::CallbackService
{
public:
    explicit tables_service(shared_platform& shared) : shared_(shared) {}

    grpc::ServerUnaryReactor* Read(grpc::CallbackServerContext*     call,
                                   platform::v1::ReadRequest const* request,
                                   platform::v1::ReadReply* reply) override;
    grpc::ServerUnaryReactor* Commit(grpc::CallbackServerContext*       call,
                                     platform::v1::CommitRequest const* request,
                                     platform::v1::CommitReply* reply) override;

private:
    shared_platform& shared_;
};

} // namespace fescuevane::stand_ins

#endif
