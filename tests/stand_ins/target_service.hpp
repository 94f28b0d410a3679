// Purpose: fescuevane.v1.Target of one target.
#ifndef FESCUEVANE_TESTS_STAND_INS_TARGET_SERVICE_HPP
#define FESCUEVANE_TESTS_STAND_INS_TARGET_SERVICE_HPP

#include <target.grpc.pb.h>

#include <cstddef>

namespace fescuevane::stand_ins
{

class target_runtime;

class target_service final : public v1::Target::CallbackService
{
public:
    target_service(target_runtime& runtime, std::size_t target)
        : runtime_(runtime), target_(target)
    {
    }

    grpc::ServerBidiReactor<v1::OwnerBatch, v1::TargetBatch>*
    Attach(grpc::CallbackServerContext* call) override;

private:
    target_runtime&   runtime_;
    std::size_t const target_;
};

} // namespace fescuevane::stand_ins

#endif
