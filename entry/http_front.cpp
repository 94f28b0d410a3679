// Purpose: life of the HTTP front end, of its messages and of its open calls.
//
// Index of sections
//   1. Life
//   2. Arrival of messages
//   3. Open calls
//   4. Commands
#include "entry/http_front.hpp"

#include "entry/front_error.hpp"
#include "entry/http_error.hpp"
#include "entry/http_json.hpp"
#include "entry/http_message.hpp"
#include "entry/http_reply.hpp"
#include "entry/http_routes.hpp"
#include "entry/open_call.hpp"
#include "io/http_limits.hpp"
#include "io/http_refusal.hpp"

#include <gio/gio.h>
#include <sys/socket.h>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace fescuevane::entry
{
namespace
{

// The node tells a state by the wait deadline; the front end gives it this much
// longer before it answers "unknown" itself.
constexpr std::int64_t answer_grace_micros = 2 * micros_per_second;

instant read_clock()
{
    return instant(g_get_monotonic_time());
}

} // namespace

// 1. Life

http_front::http_front(settings const& values, event_sink sink,
                       front_queries queries, span_tracer& tracer,
                       refusal_log log)
    : settings_(values)
    , sink_(std::move(sink))
    , queries_(std::move(queries))
    , tracer_(tracer)
    , listener_(soup_server_new("raw-paths", TRUE, nullptr),
                io::make_caller_limits(values.budget(), values.max_body_bytes_),
                {.refused_ =
                     [this](io::http_refusal reason)
                 {
                     count_refusal(reason);
                 },
                 .write_body_ =
                     [](unsigned status, std::string const& reason)
                 {
                     return write_error(status, reason).body_;
                 },
                 .log_ = std::move(log)})
{
    soup_server_add_handler(listener_.server(), "/", &http_front::on_call, this,
                            nullptr);
}

// Callers whose calls are still open see a closed connection and ask again.
http_front::~http_front()
{
    for (std::size_t row = 0; row < calls_.index_.size(); ++row)
    {
        g_signal_handler_disconnect(calls_.message_[row].get(),
                                    calls_.finished_handler_[row]);
    }
}

void http_front::listen()
{
    try
    {
        listener_.listen(settings_.http_address_);
    }
    catch (std::runtime_error const& error)
    {
        throw front_error(error.what());
    }
}

std::uint16_t http_front::port() const
{
    return listener_.port();
}

// 2. Arrival of messages

// After the body, unless an answer was set before.
void http_front::on_call(SoupServer* /*server*/, SoupServerMessage* message,
                         char const* /*path*/, GHashTable* /*query*/,
                         void* front)
{
    auto* const   self = static_cast<http_front*>(front);
    instant const opened = read_clock();
    handled const reply = self->handle(message);
    if (reply)
    {
        send_reply(message, *reply);
        self->metrics_.observe(call_kind::read,
                               opened.remaining_until(read_clock()));
    }
}

// No exception may pass through the library's C functions.
http_front::handled http_front::handle(SoupServerMessage* message)
{
    try
    {
        return dispatch(message);
    }
    catch (http_error const& error)
    {
        return write_error(error.status(), error.what());
    }
    catch (std::exception const& error)
    {
        return write_error(500, error.what());
    }
}

http_front::handled http_front::dispatch(SoupServerMessage* message)
{
    std::string const path =
        g_uri_get_path(soup_server_message_get_uri(message));
    route_match const match =
        http_routes::find(soup_server_message_get_method(message), path);
    if (match.route_ != nullptr)
    {
        return (this->*match.route_->handler_)(
            message, decode_call(message, match.argument_));
    }
    if (match.allow_.empty())
    {
        throw http_error(404, "path: " + path + " does not exist");
    }
    http_reply const error = write_error(405, "expected " + match.allow_);
    return http_reply{
        .status_ = error.status_, .body_ = error.body_, .allow_ = match.allow_};
}

// 3. Open calls

namespace
{

// Data of a callback that concerns one call.
struct call_place
{
    http_front* const   front_;
    std::uint64_t const call_;
};

void free_place(void* place)
{
    delete static_cast<call_place*>(place);
}

void free_writing(void* writing, GClosure* /*closure*/)
{
    delete static_cast<std::shared_ptr<std::size_t>*>(writing);
}

void free_closure(void* place, GClosure* /*closure*/)
{
    free_place(place);
}

enum class socket_state : std::uint8_t
{
    open,
    closed,
    has_data // a further request, which hides a later close
};

socket_state peek_socket(GSocket* socket)
{
    char       byte = 0;
    auto const size =
        ::recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0)
    {
        return socket_state::has_data;
    }
    bool const waits = size < 0 && (errno == EAGAIN || errno == EINTR);
    return waits ? socket_state::open : socket_state::closed;
}

} // namespace

bool http_front::is_full() const
{
    return calls_.index_.size() >= settings_.max_open_calls_;
}

std::uint64_t http_front::open(SoupServerMessage* message, call_kind kind,
                               instant wait_deadline, trace_span span,
                               job_key const& job, std::string const& key)
{
    std::uint64_t const id = ++last_call_;
    gulong const        handler = g_signal_connect_data(
               message, "finished", G_CALLBACK(&http_front::on_finished),
               new call_place{this, id}, &free_closure, GConnectFlags(0));
    append_call(calls_, {.id_ = id,
                         .message_ = message_ptr(
                             SOUP_SERVER_MESSAGE(g_object_ref(message))),
                         .finished_handler_ = handler,
                         .hang_up_watch_ = watch_socket(message, id),
                         .deadline_ = wait_deadline.after(answer_grace_micros),
                         .kind_ = kind,
                         .job_ = job,
                         .key_ = key,
                         .opened_ = read_clock(),
                         .span_ = std::move(span)});
    soup_server_message_pause(message);
    arm_timer();
    return id;
}

// libsoup reads nothing from the socket of a paused message, so it doesn't
// notice a caller that closes the connection.
source_ptr http_front::watch_socket(SoupServerMessage* message,
                                    std::uint64_t      call)
{
    GSocket* const socket = io::http_listener::find_socket(message);
    if (socket == nullptr)
    {
        return nullptr; // closed: "finished" follows
    }
    GSource* const source = g_socket_create_source(
        socket, GIOCondition(G_IO_IN | G_IO_HUP | G_IO_ERR), nullptr);
    g_source_set_callback(source, G_SOURCE_FUNC(&http_front::on_socket),
                          new call_place{this, call}, &free_place);
    g_source_attach(source, nullptr);
    return source_ptr(source);
}

gboolean http_front::on_socket(GSocket* socket, GIOCondition /*condition*/,
                               void*    place)
{
    call_place const   at = *static_cast<call_place*>(place);
    socket_state const state = peek_socket(socket);
    if (state == socket_state::closed)
    {
        at.front_->answer(at.call_, write_error(504, "the caller closed"));
        at.front_->sink_(call_abandoned{at.call_});
    }
    return state == socket_state::open ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

// The connection ended by other means than an answer.
void http_front::on_finished(SoupServerMessage* /*message*/, void* place)
{
    call_place const at = *static_cast<call_place*>(place);
    auto const       row = at.front_->calls_.index_.find(at.call_);
    if (row)
    {
        remove_call(at.front_->calls_, *row);
        at.front_->sink_(call_abandoned{at.call_});
    }
}

void http_front::on_written(SoupServerMessage* /*message*/, void* writing)
{
    --**static_cast<std::shared_ptr<std::size_t>*>(writing);
}

// The row goes first, so that no callback can answer the message again.
void http_front::answer(std::uint64_t call, http_reply const& reply)
{
    auto const row = calls_.index_.find(call);
    if (!row)
    {
        return;
    }
    message_ptr const message = std::move(calls_.message_[*row]);
    g_signal_handler_disconnect(message.get(), calls_.finished_handler_[*row]);
    // The process stays until the reply is written.
    ++*writing_;
    g_signal_connect_data(message.get(), "finished",
                          G_CALLBACK(&http_front::on_written),
                          new std::shared_ptr<std::size_t>(writing_),
                          &free_writing, GConnectFlags(0));
    metrics_.observe(calls_.kind_[*row],
                     calls_.opened_[*row].remaining_until(read_clock()));
    remove_call(calls_, *row);
    send_reply(message.get(), reply);
    soup_server_message_unpause(message.get());
}

void http_front::arm_timer()
{
    if (calls_.by_deadline_.empty())
    {
        timer_.reset();
        return;
    }
    instant const due = calls_.by_deadline_.begin()->first;
    if (timer_ && timer_due_ <= due)
    {
        return;
    }
    std::int64_t const wait_ms =
        read_clock().remaining_until(due) / micros_per_milli + 1;
    timer_due_ = due;
    timer_.reset(g_timeout_source_new(static_cast<guint>(wait_ms)));
    g_source_set_callback(timer_.get(), &http_front::on_deadline, this,
                          nullptr);
    g_source_attach(timer_.get(), nullptr);
}

gboolean http_front::on_deadline(void* front)
{
    auto* const self = static_cast<http_front*>(front);
    self->expire_calls();
    self->timer_.reset();
    self->arm_timer();
    return G_SOURCE_REMOVE;
}

void http_front::expire_calls()
{
    instant const now = read_clock();
    while (!calls_.by_deadline_.empty() &&
           calls_.by_deadline_.begin()->first <= now)
    {
        std::uint64_t const call = calls_.by_deadline_.begin()->second;
        std::size_t const   row = *calls_.index_.find(call);
        job_key const       job = calls_.job_[row];
        std::string const   reason = "no answer by the deadline of the call";
        answer(call, job.team_.empty()
                         ? write_error(504, reason)
                         : write_job({.key_ = job,
                                      .state_ = job_state::unknown,
                                      .reason_ = reason},
                                     settings_.state_.host_));
        sink_(call_abandoned{call});
    }
}

// 4. Commands

void http_front::deliver(front_command const& output)
{
    std::visit(
        [this](auto const& told)
        {
            tell(told);
        },
        output);
}

void http_front::tell(job_told const& told)
{
    answer(told.call_, write_job(told.result_, settings_.state_.host_));
}

void http_front::tell(call_rejected const& told)
{
    // In the order of `call_error`.
    static constexpr std::array<unsigned, 4> statuses = {401, 403, 404, 400};
    answer(told.call_,
           write_error(statuses.at(static_cast<std::size_t>(told.error_)),
                       told.message_));
}

// The caller of a single cancellation gets the job, so its state is asked for
// under the same call.
void http_front::tell(cancel_told const& told)
{
    auto const row = calls_.index_.find(told.call_);
    if (!row)
    {
        return;
    }
    if (calls_.kind_[*row] == call_kind::bulk_cancel)
    {
        answer(told.call_, {.body_ = write_accepted(told.accepted_)});
        return;
    }
    sink_(lookup_opened{
        .call_ = told.call_,
        .job_ = calls_.job_[*row],
        .key_ = calls_.key_[*row],
        .wait_deadline_ =
            instant(calls_.deadline_[*row].micros() - answer_grace_micros)});
}

void http_front::tell(ticket_told const& told)
{
    answer(told.progress_.call_, write_ticket_progress(told.progress_));
}

} // namespace fescuevane::entry
