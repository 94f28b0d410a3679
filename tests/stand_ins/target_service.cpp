// Purpose: fescuevane.v1.Target of one target.
#include "tests/stand_ins/target_service.hpp"

#include "tests/stand_ins/target_stream.hpp"

namespace fescuevane::stand_ins
{

grpc::ServerBidiReactor<v1::OwnerBatch, v1::TargetBatch>*
target_service::Attach(grpc::CallbackServerContext* call)
{
    return new target_stream(runtime_, target_, *call); // deletes itself
}

} // namespace fescuevane::stand_ins
