// Purpose: one stream between an owner and a target.
#ifndef FESCUEVANE_TESTS_STAND_INS_TARGET_STREAM_HPP
#define FESCUEVANE_TESTS_STAND_INS_TARGET_STREAM_HPP

#include <target.grpc.pb.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>

namespace fescuevane::stand_ins
{

class target_runtime;

// Deletes itself when the call is over.
class target_stream final
    : public grpc::ServerBidiReactor<v1::OwnerBatch, v1::TargetBatch>
{
public:
    target_stream(target_runtime& runtime, std::size_t target,
                  grpc::CallbackServerContext& call);

    void send(v1::TargetBatch message); // in order, after earlier ones
    void drop();                        // breaks the connection's stream

    void OnReadDone(bool ok) override;
    void OnWriteDone(bool ok) override;
    void OnDone() override;

private:
    target_runtime&              runtime_;
    std::size_t const            target_;
    grpc::CallbackServerContext& call_;
    std::uint64_t                stream_ = 0;
    v1::OwnerBatch               incoming_;
    std::mutex                   mutex_; // guards what follows
    std::deque<v1::TargetBatch>  outgoing_;
};

} // namespace fescuevane::stand_ins

#endif
