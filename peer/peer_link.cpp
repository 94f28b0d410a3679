// Purpose: gRPC between the hosts of a cell, both ways.
//
// Index of sections
//   1. Completions
//   2. Calls that come in
//   3. Calls that go out
//   4. Link
#include "peer/peer_link.hpp"

#include "cell.grpc.pb.h"
#include "cell/advice_reply.hpp"
#include "cell/heartbeat.hpp"
#include "cell/job_answer.hpp"
#include "cell/job_call.hpp"
#include "cell/send_question.hpp"
#include "io/bounded_sockets.hpp"
#include "io/main_loop.hpp"
#include "io/peer_limits.hpp"
#include "peer/peer_codec.hpp"
#include "peer/peer_error.hpp"

#include <grpcpp/grpcpp.h>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <vector>

namespace fescuevane::peer
{
namespace
{

using cell::v1::Cell;

// Pauses between attempts to connect that were turned down.
constexpr int reconnect_min_ms = 100;
constexpr int reconnect_max_ms = 400;

// An attempt to connect ends after this time, and what waited for it fails. A
// host without processor time takes over 100 ms to answer one; one that is back
// is reached again within this time.
constexpr int connect_timeout_ms = 1000;

// A connection that is silent for this long while calls on it reach their
// deadlines is given up. A lost answer may leave it open and silent for ever.
constexpr std::int64_t silent_micros = 2'000'000;

// The library's own check, only while calls are open. Its timer fires on idle
// connections, too. The system gives up one that acknowledges nothing within
// the time-out.
constexpr int keepalive_ms = 10'000;
constexpr int keepalive_timeout_ms = 1000;
constexpr int min_ping_ms = 1000;

// Heartbeats and specifications of jobs take some hundred KB at most. The
// library's check needs its full stack in the server.
constexpr int max_message_bytes = 4 * 1024 * 1024;

// Added to the deadline of a call, so that the owner's own answer comes first.
constexpr std::int64_t call_slack_micros = 100'000;

// 1. Completions

// Tag of an operation; `complete` runs in the main loop.
class completion
{
public:
    virtual ~completion() = default;
    virtual void complete(bool ok) = 0;

    // True when nothing is left to do but to free it, in any thread.
    [[nodiscard]] virtual bool is_finished() const { return false; }
};

// Completions that wait for the main loop. Those that arrive before it takes
// them need only one wake-up.
class completion_list
{
public:
    using entry = std::pair<completion*, bool>; // and whether it succeeded

    // True when the list was empty: the main loop has to be woken.
    bool add(entry const& value)
    {
        std::lock_guard const lock(mutex_);
        entries_.push_back(value);
        return entries_.size() == 1;
    }

    std::vector<entry> take_all()
    {
        std::lock_guard const lock(mutex_);
        return std::exchange(entries_, {});
    }

private:
    std::mutex         mutex_;
    std::vector<entry> entries_;
};

std::chrono::system_clock::time_point to_time_point(instant deadline)
{
    return std::chrono::system_clock::now() +
           std::chrono::microseconds(
               io::read_clock().remaining_until(deadline));
}

} // namespace

namespace
{

struct channel_row
{
    std::unique_ptr<Cell::Stub> stub_;
    instant                     answered_at_; // latest answer on it
};

using context_set = std::set<grpc::ClientContext*>;

} // namespace

struct peer_link::state
{
    peer_handlers                                                   handlers_;
    Cell::AsyncService                                              service_;
    std::unique_ptr<grpc::ServerCompletionQueue>                    queue_;
    std::unique_ptr<grpc::Server>                                   server_;
    std::unique_ptr<grpc::experimental::ExternalConnectionAcceptor> acceptor_;
    std::optional<io::bounded_sockets>                              sockets_;
    std::thread                                                     thread_;
    std::map<std::string, channel_row> channels_; // by address
    context_set                        outgoing_; // open calls
    std::map<std::uint64_t, std::function<void(cell::job_answer const&)>>
        open_; // calls of other hosts that wait
    std::map<std::uint64_t, std::function<void(cell::advice_reply const&)>>
                          open_questions_; // the same
    std::uint64_t         last_call_ = 0;
    completion_list       completed_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

    Cell::Stub& find_stub(std::string const& address);
    void note_end(std::string const& address, grpc::Status const& status);
    void wait_for_completions();
    void complete_all();
};

// 2. Calls that come in

namespace
{

class incoming_beat : public completion
{
public:
    incoming_beat(Cell::AsyncService&          service,
                  grpc::ServerCompletionQueue& queue, peer_handlers& handlers)
        : service_(service)
        , queue_(queue)
        , handlers_(handlers)
        , responder_(&context_)
    {
        service_.RequestBeat(&context_, &request_, &responder_, &queue_,
                             &queue_, this);
    }

    void complete(bool ok) override
    {
        if (!ok)
        {
            delete this;
            return;
        }
        answered_ = true;
        new incoming_beat(service_, queue_, handlers_);
        try
        {
            handlers_.beat_(decode_heartbeat(request_));
            responder_.Finish(encode_heartbeat(handlers_.answer_beat_()),
                              grpc::Status::OK, this);
        }
        catch (peer_error const& error)
        {
            responder_.FinishWithError(
                {grpc::StatusCode::INVALID_ARGUMENT, error.what()}, this);
        }
    }

    [[nodiscard]] bool is_finished() const override { return answered_; }

private:
    Cell::AsyncService&                                  service_;
    grpc::ServerCompletionQueue&                         queue_;
    peer_handlers&                                       handlers_;
    grpc::ServerContext                                  context_;
    cell::v1::Heartbeat                                  request_;
    grpc::ServerAsyncResponseWriter<cell::v1::Heartbeat> responder_;
    bool                                                 answered_ = false;
};

// A call that is answered later, under a number of its own. `Traits` names the
// messages and how they are requested, decoded and told.
template <typename Traits>
class incoming_call : public completion
{
public:
    using message = typename Traits::message;
    using reply_message = typename Traits::reply_message;
    using answer = typename Traits::answer;
    using open_calls =
        std::map<std::uint64_t, std::function<void(answer const&)>>;

    incoming_call(Cell::AsyncService&          service,
                  grpc::ServerCompletionQueue& queue, peer_handlers& handlers,
                  open_calls& open, std::uint64_t& last_call)
        : service_(service)
        , queue_(queue)
        , handlers_(handlers)
        , open_(open)
        , last_call_(last_call)
        , responder_(&context_)
    {
        Traits::request(service_, context_, request_, responder_, queue_, this);
    }

    void complete(bool ok) override
    {
        if (!ok)
        {
            delete this;
            return;
        }
        new incoming_call(service_, queue_, handlers_, open_, last_call_);
        answered_ = true;
        std::uint64_t const id = ++last_call_;
        try
        {
            auto const call = Traits::decode(request_);
            open_[id] = [this](answer const& value)
            {
                responder_.Finish(Traits::encode(value), grpc::Status::OK,
                                  this);
            };
            Traits::tell(handlers_, id, call);
        }
        catch (peer_error const& error)
        {
            responder_.FinishWithError(
                {grpc::StatusCode::INVALID_ARGUMENT, error.what()}, this);
        }
    }

    [[nodiscard]] bool is_finished() const override { return answered_; }

private:
    Cell::AsyncService&                            service_;
    grpc::ServerCompletionQueue&                   queue_;
    peer_handlers&                                 handlers_;
    open_calls&                                    open_;
    std::uint64_t&                                 last_call_;
    grpc::ServerContext                            context_;
    message                                        request_;
    grpc::ServerAsyncResponseWriter<reply_message> responder_;
    bool                                           answered_ = false;
};

struct route_traits
{
    using message = cell::v1::JobCall;
    using reply_message = cell::v1::JobAnswer;
    using answer = cell::job_answer;
    using writer = grpc::ServerAsyncResponseWriter<reply_message>;

    static void request(Cell::AsyncService&  service,
                        grpc::ServerContext& context, message& into,
                        writer& responder, grpc::ServerCompletionQueue& queue,
                        void* tag)
    {
        service.RequestRoute(&context, &into, &responder, &queue, &queue, tag);
    }
    static cell::job_call decode(message const& from)
    {
        return decode_call(from, io::read_clock());
    }
    static reply_message encode(answer const& value)
    {
        return encode_answer(value);
    }
    static void tell(peer_handlers& handlers, std::uint64_t id,
                     cell::job_call const& call)
    {
        handlers.called_(id, call);
    }
};

struct ask_traits
{
    using message = cell::v1::AdviceCall;
    using reply_message = cell::v1::AdviceAnswer;
    using answer = cell::advice_reply;
    using writer = grpc::ServerAsyncResponseWriter<reply_message>;

    static void request(Cell::AsyncService&  service,
                        grpc::ServerContext& context, message& into,
                        writer& responder, grpc::ServerCompletionQueue& queue,
                        void* tag)
    {
        service.RequestAsk(&context, &into, &responder, &queue, &queue, tag);
    }
    static cell::send_question decode(message const& from)
    {
        return decode_question(from, io::read_clock());
    }
    static reply_message encode(answer const& value)
    {
        return encode_advice(value);
    }
    static void tell(peer_handlers& handlers, std::uint64_t id,
                     cell::send_question const& question)
    {
        handlers.asked_(id, question);
    }
};

// 3. Calls that go out

template <typename Reply>
class outgoing : public completion
{
public:
    using done_function =
        std::function<void(grpc::Status const&, Reply const&)>;

    outgoing(context_set& open, instant deadline, done_function done)
        : open_(open), done_(std::move(done))
    {
        context_.set_deadline(to_time_point(deadline));
        open_.insert(&context_);
    }

    grpc::ClientContext& context() { return context_; }

    void read(std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> reader)
    {
        reader_ = std::move(reader);
        reader_->Finish(&reply_, &status_, this);
    }

    void complete(bool /*ok*/) override
    {
        open_.erase(&context_);
        done_(status_, reply_);
        delete this;
    }

private:
    context_set&                                            open_;
    grpc::ClientContext                                     context_;
    Reply                                                   reply_;
    grpc::Status                                            status_;
    std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> reader_;
    done_function                                           done_;
};

} // namespace

Cell::Stub& peer_link::state::find_stub(std::string const& address)
{
    channel_row& channel = channels_[address];
    if (channel.stub_ == nullptr)
    {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                         reconnect_min_ms);
        // The library's least pause is in fact the time-out of an attempt.
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connect_timeout_ms);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnect_max_ms);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_ms);
        arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
        arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
        // Messages are small: a ping after each of them to estimate the
        // bandwidth costs as much as the message. No other feature that the
        // library adds to calls is needed but their deadlines.
        arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
        arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
        arguments.SetInt(GRPC_ARG_MINIMAL_STACK, 1);
        arguments.SetInt(GRPC_ARG_ENABLE_DEADLINE_CHECKS, 1);
        channel.stub_ = Cell::NewStub(grpc::CreateCustomChannel(
            address, grpc::InsecureChannelCredentials(), arguments));
        channel.answered_at_ = io::read_clock();
    }
    return *channel.stub_;
}

// Calls that are open on a channel which is given up go on to their deadlines.
void peer_link::state::note_end(std::string const&  address,
                                grpc::Status const& status)
{
    auto const found = channels_.find(address);
    if (found == channels_.end())
    {
        return;
    }
    instant const now = io::read_clock();
    if (status.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED)
    {
        found->second.answered_at_ = now;
    }
    else if (found->second.answered_at_.after(silent_micros) < now)
    {
        channels_.erase(found);
    }
}

void peer_link::state::wait_for_completions()
{
    void* tag = nullptr;
    bool  ok = false;
    while (queue_->Next(&tag, &ok))
    {
        auto* const done = static_cast<completion*>(tag);
        if (done->is_finished())
        {
            delete done;
        }
        else if (completed_.add({done, ok}))
        {
            io::run_in_main_loop(
                [this, alive = alive_]
                {
                    if (*alive)
                    {
                        complete_all();
                    }
                });
        }
    }
}

void peer_link::state::complete_all()
{
    for (auto const& [done, ok] : completed_.take_all())
    {
        done->complete(ok);
    }
}

// 4. Link

peer_link::peer_link(std::string const& address, io::peer_limits const& limits,
                     peer_handlers handlers)
    : state_(std::make_unique<state>())
{
    state_->handlers_ = std::move(handlers);
    state_->sockets_.emplace(
        limits.max_connections_,
        [own = state_.get()](int descriptor)
        {
            grpc::experimental::ExternalConnectionAcceptor::
                NewConnectionParameters connection;
            connection.fd = descriptor;
            own->acceptor_->HandleNewConnection(&connection);
        },
        [own = state_.get()]
        {
            own->handlers_.dropped_();
        });
    try
    {
        state_->sockets_->listen(address);
    }
    catch (std::runtime_error const& error)
    {
        throw peer_error(error.what());
    }
    grpc::ServerBuilder builder;
    state_->acceptor_ = builder.experimental().AddExternalConnectionAcceptor(
        grpc::ServerBuilder::experimental_type::ExternalConnectionType::FROM_FD,
        grpc::InsecureServerCredentials());
    // The library's quota bounds what is read but not handled yet.
    builder.SetResourceQuota(
        grpc::ResourceQuota("peers").Resize(limits.max_memory_bytes_));
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.AddChannelArgument(
        GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, min_ping_ms);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.RegisterService(&state_->service_);
    state_->queue_ = builder.AddCompletionQueue();
    state_->server_ = builder.BuildAndStart();
    if (state_->server_ == nullptr)
    {
        throw peer_error("can't start the server of " + address);
    }
    new incoming_beat(state_->service_, *state_->queue_, state_->handlers_);
    new incoming_call<route_traits>(state_->service_, *state_->queue_,
                                    state_->handlers_, state_->open_,
                                    state_->last_call_);
    new incoming_call<ask_traits>(state_->service_, *state_->queue_,
                                  state_->handlers_, state_->open_questions_,
                                  state_->last_call_);
    state_->thread_ = std::thread(
        [own = state_.get()]
        {
            own->wait_for_completions();
        });
}

// Completions that are still queued in the main loop are dropped; the process
// is about to leave. It can't wait for the deadlines of its calls: the queue
// ends with the last of them, and the process may be killed before.
peer_link::~peer_link()
{
    *state_->alive_ = false;
    state_->sockets_.reset();
    for (grpc::ClientContext* const open : state_->outgoing_)
    {
        open->TryCancel();
    }
    state_->server_->Shutdown(std::chrono::system_clock::now());
    state_->queue_->Shutdown();
    state_->thread_.join();
}

void peer_link::beat(std::string const& address, cell::heartbeat const& beat,
                     instant deadline)
{
    auto* const call = new outgoing<cell::v1::Heartbeat>(
        state_->outgoing_, deadline,
        [this, address](grpc::Status const&        status,
                        cell::v1::Heartbeat const& reply)
        {
            state_->note_end(address, status);
            if (!status.ok())
            {
                return; // silence is what the node notices
            }
            try
            {
                state_->handlers_.beat_(decode_heartbeat(reply));
            }
            catch (peer_error const&)
            {
                // A host with another version of the messages counts as
                // silent.
            }
        });
    call->read(state_->find_stub(address).AsyncBeat(
        &call->context(), encode_heartbeat(beat), state_->queue_.get()));
}

void peer_link::call(std::uint64_t request, std::string const& address,
                     cell::job_call const& call)
{
    auto* const out = new outgoing<cell::v1::JobAnswer>(
        state_->outgoing_, call.deadline_.after(call_slack_micros),
        [this, request, address](grpc::Status const&        status,
                                 cell::v1::JobAnswer const& reply)
        {
            state_->note_end(address, status);
            cell::job_answer answer{.outcome_ = cell::job_outcome::uncertain};
            try
            {
                if (status.ok())
                {
                    answer = decode_answer(reply);
                }
            }
            catch (peer_error const&)
            {
                // stays uncertain
            }
            state_->handlers_.replied_(request, answer);
        });
    out->read(state_->find_stub(address).AsyncRoute(
        &out->context(), encode_call(call, io::read_clock()),
        state_->queue_.get()));
}

namespace
{

template <typename Answer>
void finish_call(
    std::map<std::uint64_t, std::function<void(Answer const&)>>& open,
    std::uint64_t call, Answer const& answer)
{
    auto const found = open.find(call);
    if (found != open.end())
    {
        auto const finish = std::move(found->second);
        open.erase(found);
        finish(answer);
    }
}

} // namespace

void peer_link::reply(std::uint64_t call, cell::job_answer const& answer)
{
    finish_call(state_->open_, call, answer);
}

void peer_link::ask(cell::send_question const& question)
{
    auto* const out = new outgoing<cell::v1::AdviceAnswer>(
        state_->outgoing_, question.deadline_.after(call_slack_micros),
        [this, request = question.request_, address = question.address_](
            grpc::Status const& status, cell::v1::AdviceAnswer const& reply)
        {
            state_->note_end(address, status);
            state_->handlers_.advised_(
                status.ok()
                    ? decode_advice(request, reply)
                    : cell::advice_reply{.request_ = request,
                                         .error_ = status.error_message()});
        });
    out->read(state_->find_stub(question.address_)
                  .AsyncAsk(&out->context(),
                            encode_question(question, io::read_clock()),
                            state_->queue_.get()));
}

void peer_link::advise(std::uint64_t call, cell::advice_reply const& answer)
{
    finish_call(state_->open_questions_, call, answer);
}

} // namespace fescuevane::peer
