// Purpose: HTTP requests with deadlines, over connections that are kept.
#include "io/http_client.hpp"

#include "io/deadline_queue.hpp"
#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"

#include <libsoup/soup.h>
#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::io
{
namespace
{

constexpr int           max_connections = 800;
constexpr int           idle_seconds = 20;
constexpr std::uint64_t max_block_bytes = 16'384; // of one read

deadline_queue& find_deadlines()
{
    static deadline_queue deadlines; // of all clients of the main loop
    return deadlines;
}

void close_session(SoupSession* session)
{
    soup_session_abort(session);
    g_object_unref(session);
}

} // namespace

// Freed by `finish`.
struct http_client::flight
{
    reply_function               reply_;
    std::shared_ptr<bool>        alive_;
    answer_limits                limits_;
    std::shared_ptr<std::size_t> held_bytes_;
    SoupMessage*                 message_ = nullptr;
    GCancellable*                cancel_ = nullptr;
    GInputStream*                stream_ = nullptr; // null: no headers yet
    deadline_queue::entry        deadline_;
    bool                         late_ = false; // the deadline has passed
    session_ptr                  session_;
    std::vector<char>            block_; // read last
    std::string                  body_;
    std::string                  error_; // empty: none

    std::size_t held_ = 0; // memory of the body, in bytes

    // Memory that a body of this size takes; strings double it as they grow.
    [[nodiscard]] std::uint64_t memory_of(std::uint64_t bytes) const
    {
        return bytes <= held_ ? held_
                              : std::max<std::uint64_t>(bytes, 2 * held_);
    }

    // `bytes` is the size of the answer, which may be announced only.
    [[nodiscard]] bool fits(std::uint64_t bytes) const
    {
        return bytes <= limits_.max_bytes_ &&
               (bytes <= limits_.small_bytes_ ||
                *held_bytes_ - held_ + memory_of(bytes) <=
                    limits_.max_sum_bytes_);
    }

    void append(std::size_t bytes)
    {
        *held_bytes_ -= held_;
        held_ = memory_of(body_.size() + bytes);
        *held_bytes_ += held_;
        body_.reserve(held_);
        body_.append(block_.data(), bytes);
    }
};

void http_client::finish(flight* own)
{
    std::unique_ptr<flight> const freed(own);
    http_response                 response;
    if (own->error_.empty())
    {
        response.status_ = soup_message_get_status(own->message_);
        response.body_ = std::move(own->body_);
    }
    else
    {
        response.error_ =
            own->late_ ? "no answer by the deadline" : own->error_;
    }
    *own->held_bytes_ -= own->held_;
    find_deadlines().remove(own->deadline_);
    g_clear_object(&own->stream_);
    g_object_unref(own->message_);
    g_object_unref(own->cancel_);
    if (own->session_.use_count() == 1)
    {
        // A session can't be closed from within its own callback.
        run_in_main_loop([last = std::move(own->session_)] {});
    }
    if (*own->alive_)
    {
        own->reply_(response);
    }
}

namespace
{

// Frees the error.
std::string describe(GError* error)
{
    std::string text = error == nullptr ? "no response" : error->message;
    g_clear_error(&error);
    return text.empty() ? "no response" : text;
}

constexpr char const* too_large = "the answer is too large";

} // namespace

void http_client::on_headers(GObject* session, GAsyncResult* result, void* data)
{
    auto* const own = static_cast<flight*>(data);
    GError*     error = nullptr;
    own->stream_ =
        soup_session_send_finish(SOUP_SESSION(session), result, &error);
    if (own->stream_ == nullptr)
    {
        own->error_ = describe(error);
        finish(own);
        return;
    }
    SoupMessageHeaders* const headers =
        soup_message_get_response_headers(own->message_);
    bool const announced = soup_message_headers_get_encoding(headers) ==
                           SOUP_ENCODING_CONTENT_LENGTH;
    auto const bytes = static_cast<std::uint64_t>(
        announced ? soup_message_headers_get_content_length(headers) : 0);
    if (!own->fits(bytes))
    {
        own->error_ = too_large;
        close(own);
        return;
    }
    own->block_.resize(
        announced ? std::clamp<std::uint64_t>(bytes, 1, max_block_bytes)
                  : max_block_bytes);
    read_more(own);
}

void http_client::read_more(flight* own)
{
    g_input_stream_read_async(own->stream_, own->block_.data(),
                              own->block_.size(), G_PRIORITY_DEFAULT,
                              own->cancel_, &on_read, own);
}

void http_client::on_read(GObject* stream, GAsyncResult* result, void* data)
{
    auto* const own = static_cast<flight*>(data);
    GError*     error = nullptr;
    auto const  size =
        g_input_stream_read_finish(G_INPUT_STREAM(stream), result, &error);
    auto const bytes = static_cast<std::size_t>(std::max<gssize>(size, 0));
    if (size < 0)
    {
        own->error_ = describe(error);
    }
    else if (!own->fits(own->body_.size() + bytes))
    {
        own->error_ = too_large;
    }
    if (size <= 0 || !own->error_.empty())
    {
        close(own);
        return;
    }
    own->append(bytes);
    read_more(own);
}

// A stream that is released before its end reads the rest of the answer, which
// blocks. So it is closed first; a connection whose answer wasn't read to its
// end isn't used again.
void http_client::close(flight* own)
{
    if (!own->error_.empty())
    {
        soup_message_headers_replace(
            soup_message_get_response_headers(own->message_), "Connection",
            "close");
        g_cancellable_cancel(own->cancel_);
    }
    g_input_stream_close_async(own->stream_, G_PRIORITY_DEFAULT, own->cancel_,
                               &on_closed, own);
}

void http_client::on_closed(GObject* stream, GAsyncResult* result, void* data)
{
    g_input_stream_close_finish(G_INPUT_STREAM(stream), result, nullptr);
    finish(static_cast<flight*>(data));
}

http_client::http_client(int connections, answer_limits const& limits)
    : connections_(connections)
    , limits_(limits)
    , held_bytes_(std::make_shared<std::size_t>(0))
    , alive_(std::make_shared<bool>(true))
{
}

http_client::~http_client()
{
    *alive_ = false;
    for (session_ptr const& session : sessions_)
    {
        if (session)
        {
            soup_session_abort(session.get()); // ends its requests in flight
        }
    }
}

// An address always has the same session, which bounds its connections.
http_client::session_ptr& http_client::find_session(std::string const& address)
{
    session_ptr& session =
        sessions_.at(std::hash<std::string>{}(address) % max_sessions);
    if (session == nullptr)
    {
        session.reset(soup_session_new_with_options(
                          "max-conns", max_connections, "max-conns-per-host",
                          connections_, "timeout", 0, "idle-timeout",
                          idle_seconds, "proxy-resolver", nullptr, nullptr),
                      &close_session);
        soup_session_set_proxy_resolver(session.get(), nullptr);
        soup_session_remove_feature_by_type(session.get(),
                                            SOUP_TYPE_CONTENT_DECODER);
    }
    return session;
}

// A single connection to an address is closed with its request.
void http_client::leave_session(session_ptr const& session)
{
    if (connections_ > 1)
    {
        std::replace(sessions_.begin(), sessions_.end(), session,
                     session_ptr());
    }
}

void http_client::send(http_request const& request, reply_function reply)
{
    std::string const uri = "http://" + request.address_ + request.path_;
    auto*             own = new flight{.reply_ = std::move(reply),
                                       .alive_ = alive_,
                                       .limits_ = limits_,
                                       .held_bytes_ = held_bytes_};
    own->message_ = soup_message_new(request.method_.c_str(), uri.c_str());
    if (own->message_ == nullptr)
    {
        run_in_main_loop(
            [own, alive = alive_, uri]
            {
                std::unique_ptr<flight> const freed(own);
                if (*alive)
                {
                    freed->reply_({.error_ = "malformed address " + uri});
                }
            });
        return;
    }
    // Otherwise the library opens a new connection for each POST. All calls of
    // the product may be repeated: conditions and run numbers guard them.
    soup_message_add_flags(own->message_, SOUP_MESSAGE_IDEMPOTENT);
    own->cancel_ = g_cancellable_new();
    SoupMessageHeaders* const headers =
        soup_message_get_request_headers(own->message_);
    for (auto const& [name, value] : request.headers_)
    {
        soup_message_headers_replace(headers, name.c_str(), value.c_str());
    }
    if (!request.body_.empty())
    {
        GBytes* const body =
            g_bytes_new(request.body_.data(), request.body_.size());
        soup_message_set_request_body_from_bytes(
            own->message_, request.content_type_.c_str(), body);
        g_bytes_unref(body);
    }
    own->session_ = find_session(request.address_);
    own->deadline_ = find_deadlines().add(
        request.deadline_,
        [this, own]
        {
            own->late_ = true;
            // A request that still waits for a connection tells nothing about
            // the others.
            if (*own->alive_ &&
                soup_message_get_connection_id(own->message_) != 0)
            {
                leave_session(own->session_);
            }
            g_cancellable_cancel(own->cancel_);
        });
    soup_session_send_async(own->session_.get(), own->message_,
                            G_PRIORITY_DEFAULT, own->cancel_, &on_headers, own);
}

} // namespace fescuevane::io
