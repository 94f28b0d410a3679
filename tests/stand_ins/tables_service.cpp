// Purpose: platform.v1.Tables over the platform context.
#include "tests/stand_ins/tables_service.hpp"

#include "tests/stand_ins/delayed_finish.hpp"
#include "tests/stand_ins/shared_platform.hpp"
#include "wire/wire.hpp"

#include <mutex>

namespace fescuevane::stand_ins
{
namespace
{

grpc::Status make_unavailable()
{
    return {grpc::StatusCode::UNAVAILABLE, "injected fault"};
}

grpc::Status make_invalid(wire::decode_error const& error)
{
    return {grpc::StatusCode::INVALID_ARGUMENT, error.what()};
}

} // namespace

grpc::ServerUnaryReactor*
tables_service::Read(grpc::CallbackServerContext*     call,
                     platform::v1::ReadRequest const* request,
                     platform::v1::ReadReply*         reply)
{
    std::unique_lock lock(shared_.mutex_);
    std::uint32_t    delay = shared_.context_.faults_.delay_millis_;
    grpc::Status     status = make_unavailable();
    try
    {
        if (auto const rows =
                read_platform(shared_.context_, wire::decode_read(*request)))
        {
            wire::encode_read_reply(*rows, *reply);
            status = grpc::Status::OK;
        }
    }
    catch (wire::decode_error const& error)
    {
        status = make_invalid(error);
    }
    lock.unlock();
    return finish_after(call, delay, status);
}

grpc::ServerUnaryReactor*
tables_service::Commit(grpc::CallbackServerContext*       call,
                       platform::v1::CommitRequest const* request,
                       platform::v1::CommitReply*         reply)
{
    std::unique_lock lock(shared_.mutex_);
    std::uint32_t    delay = shared_.context_.faults_.delay_millis_;
    grpc::Status     status = make_unavailable();
    try
    {
        if (auto const ended = commit_platform(shared_.context_,
                                               wire::decode_commit(*request)))
        {
            wire::encode_commit_reply(*ended, *reply);
            status = grpc::Status::OK;
        }
    }
    catch (wire::decode_error const& error)
    {
        status = make_invalid(error);
    }
    lock.unlock();
    return finish_after(call, delay, status);
}

} // namespace fescuevane::stand_ins
