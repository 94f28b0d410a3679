// Purpose: platform.v1.Objects over the platform context.
#include "tests/stand_ins/objects_service.hpp"

#include "tests/stand_ins/delayed_finish.hpp"
#include "tests/stand_ins/shared_platform.hpp"

#include <mutex>

namespace fescuevane::stand_ins
{
namespace
{

grpc::Status make_status(bool admitted)
{
    return admitted
               ? grpc::Status::OK
               : grpc::Status(grpc::StatusCode::UNAVAILABLE, "injected fault");
}

} // namespace

grpc::ServerUnaryReactor*
objects_service::Put(grpc::CallbackServerContext*    call,
                     platform::v1::PutRequest const* request,
                     platform::v1::PutReply* /*reply*/)
{
    std::unique_lock    lock(shared_.mutex_);
    std::uint32_t const delay = shared_.context_.faults_.delay_millis_;
    bool const          admitted = admit_store_call(shared_.context_);
    if (admitted)
    {
        shared_.context_.objects_[request->name()] = request->content();
    }
    lock.unlock();
    return finish_after(call, delay, make_status(admitted));
}

grpc::ServerUnaryReactor*
objects_service::Get(grpc::CallbackServerContext*    call,
                     platform::v1::GetRequest const* request,
                     platform::v1::GetReply*         reply)
{
    std::unique_lock    lock(shared_.mutex_);
    std::uint32_t const delay = shared_.context_.faults_.delay_millis_;
    bool const          admitted = admit_store_call(shared_.context_);
    auto const          found = shared_.context_.objects_.find(request->name());
    if (admitted && found != shared_.context_.objects_.end())
    {
        reply->set_found(true);
        reply->set_content(found->second);
    }
    lock.unlock();
    return finish_after(call, delay, make_status(admitted));
}

} // namespace fescuevane::stand_ins
