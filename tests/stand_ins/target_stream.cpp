// Purpose: one stream between an owner and a target.
#include "tests/stand_ins/target_stream.hpp"

#include "tests/stand_ins/target_runtime.hpp"
#include "wire/decode_error.hpp"

#include <utility>

namespace fescuevane::stand_ins
{

target_stream::target_stream(target_runtime& runtime, std::size_t target,
                             grpc::CallbackServerContext& call)
    : runtime_(runtime)
    , target_(target)
    , call_(call)
    , stream_(runtime.open_stream(*this))
{
    StartRead(&incoming_);
}

void target_stream::send(v1::TargetBatch message)
{
    std::lock_guard const lock(mutex_);
    outgoing_.push_back(std::move(message));
    if (outgoing_.size() == 1)
    {
        StartWrite(&outgoing_.front());
    }
}

void target_stream::drop()
{
    call_.TryCancel();
}

void target_stream::OnReadDone(bool ok)
{
    if (!ok)
    {
        Finish(grpc::Status::OK);
        return;
    }
    try
    {
        runtime_.post_batch(target_, stream_, incoming_);
    }
    catch (wire::decode_error const& error)
    {
        Finish({grpc::StatusCode::INVALID_ARGUMENT, error.what()});
        return;
    }
    StartRead(&incoming_);
}

void target_stream::OnWriteDone(bool ok)
{
    std::lock_guard const lock(mutex_);
    outgoing_.pop_front();
    if (ok && !outgoing_.empty())
    {
        StartWrite(&outgoing_.front());
    }
}

void target_stream::OnDone()
{
    runtime_.close_stream(target_, stream_);
    delete this;
}

} // namespace fescuevane::stand_ins
