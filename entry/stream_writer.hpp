// Purpose: one client stream of batches, written from the main loop, read in
// gRPC's threads.
#ifndef FESCUEVANE_ENTRY_STREAM_WRITER_HPP
#define FESCUEVANE_ENTRY_STREAM_WRITER_HPP

#include <grpcpp/grpcpp.h>
#include <grpcpp/support/client_callback.h>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace fescuevane::entry
{

// Deletes itself when gRPC is done with the stream; held by a shared pointer
// that it keeps to itself until then. Safe for use by several threads.
template <typename Out, typename In>
class stream_writer : public grpc::ClientBidiReactor<Out, In>
{
public:
    using reader = std::function<void(In const&)>;
    using closer = std::function<void()>;

    // `read` and `close` are called in gRPC's threads; `close` once, at the end
    // of the stream, and never after `cancel`.
    static std::shared_ptr<stream_writer>
    make(std::shared_ptr<grpc::Channel> channel, reader read, closer close)
    {
        std::shared_ptr<stream_writer> stream(new stream_writer(
            std::move(channel), std::move(read), std::move(close)));
        stream->self_ = stream;
        return stream;
    }

    grpc::ClientContext&           context() { return context_; }
    std::shared_ptr<grpc::Channel> channel() const { return channel_; }

    void start()
    {
        this->AddHold(); // writes come from outside of reactions
        this->StartRead(&input_);
        this->StartCall();
    }

    void write(Out batch)
    {
        std::lock_guard const lock(mutex_);
        if (ended_)
        {
            return;
        }
        output_.push_back(std::move(batch));
        if (output_.size() == 1)
        {
            this->StartWrite(&output_.front());
        }
    }

    // Batches that wait to be written.
    std::size_t waiting()
    {
        std::lock_guard const lock(mutex_);
        return output_.size();
    }

    void cancel()
    {
        {
            std::lock_guard const lock(mutex_);
            canceled_ = true;
        }
        end();
        context_.TryCancel();
    }

    void OnReadDone(bool ok) override
    {
        if (!ok)
        {
            end();
            return;
        }
        bool wanted = false;
        {
            std::lock_guard const lock(mutex_);
            wanted = !canceled_;
        }
        if (wanted)
        {
            read_(input_);
        }
        this->StartRead(&input_);
    }

    void OnWriteDone(bool ok) override
    {
        if (!ok)
        {
            end();
            return;
        }
        std::lock_guard const lock(mutex_);
        output_.pop_front();
        if (!output_.empty() && !ended_)
        {
            this->StartWrite(&output_.front());
        }
    }

    void OnDone(grpc::Status const& /*status*/) override
    {
        bool canceled = false;
        {
            std::lock_guard const lock(mutex_);
            canceled = canceled_;
        }
        if (!canceled)
        {
            close_();
        }
        std::shared_ptr<stream_writer> const last = std::move(self_);
    }

private:
    stream_writer(std::shared_ptr<grpc::Channel> channel, reader read,
                  closer close)
        : channel_(std::move(channel))
        , read_(std::move(read))
        , close_(std::move(close))
    {
    }

    // No more writes; gRPC ends the stream when reads and writes are done.
    void end()
    {
        bool first = false;
        {
            std::lock_guard const lock(mutex_);
            first = !std::exchange(ended_, true);
        }
        if (first)
        {
            this->RemoveHold();
        }
    }

    std::shared_ptr<grpc::Channel> const channel_;
    reader const                         read_;
    closer const                         close_;
    grpc::ClientContext                  context_;
    std::mutex                           mutex_;
    std::deque<Out>                      output_; // the first is being written
    In                                   input_;
    bool                                 ended_ = false;
    bool                                 canceled_ = false;
    std::shared_ptr<stream_writer>       self_;
};

} // namespace fescuevane::entry

#endif
