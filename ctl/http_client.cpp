// Purpose: calls of the HTTP API over one GMainLoop.
//
// Index of sections
//   1. Messages
//   2. Ends of calls
//   3. Client
#include "ctl/http_client.hpp"

#include "ctl/ctl_error.hpp"
#include "ctl/options.hpp"
#include "ctl/random_id.hpp"

#include <algorithm>
#include <optional>
#include <ostream>
#include <utility>

namespace fescuevane::ctl
{
namespace
{

// 1. Messages

std::string make_url(std::string const& server, std::string const& path)
{
    bool const has_scheme = server.find("://") != std::string::npos;
    return (has_scheme ? server : "http://" + server) + path;
}

void set_header(SoupMessage* message, char const* name,
                std::string const& value)
{
    if (!value.empty())
    {
        soup_message_headers_replace(soup_message_get_request_headers(message),
                                     name, value.c_str());
    }
}

void set_keys(SoupMessage* message, options const& values, key_kind key)
{
    bool const prefers_operators =
        key == key_kind::any && !values.operator_key_.empty();
    if (key == key_kind::operators || prefers_operators)
    {
        set_header(message, "X-Key", values.operator_key_);
        return;
    }
    set_header(message, "X-Team", values.team_);
    set_header(message, "X-Key", values.key_);
}

void set_body(SoupMessage* message, std::string const& body)
{
    if (!body.empty())
    {
        GBytes* const bytes = g_bytes_new(body.data(), body.size());
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 bytes);
        g_bytes_unref(bytes);
    }
}

// 2. Ends of calls

struct open_call
{
    SoupMessage*                           message_;
    GCancellable*                          cancellable_;
    guint                                  timer_;
    std::function<void(http_reply const&)> done_;
};

gboolean expire_call(gpointer data)
{
    auto* const call = static_cast<open_call*>(data);
    call->timer_ = 0;
    g_cancellable_cancel(call->cancellable_);
    return G_SOURCE_REMOVE;
}

call_fault rate_error(GError const* error)
{
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED) ||
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_TIMED_OUT))
    {
        return call_fault::timed_out;
    }
    bool const unreached =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) ||
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_HOST_UNREACHABLE) ||
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_NETWORK_UNREACHABLE) ||
        error->domain == G_RESOLVER_ERROR;
    return unreached ? call_fault::no_connection : call_fault::lost;
}

http_reply make_reply(SoupMessage* message, GBytes* bytes, GError const* error)
{
    if (!bytes)
    {
        return {.fault_ = rate_error(error), .message_ = error->message};
    }
    gsize             size = 0;
    auto const* const data =
        static_cast<char const*>(g_bytes_get_data(bytes, &size));
    return {.status_ = soup_message_get_status(message),
            .body_ = size > 0 ? std::string(data, size) : std::string()};
}

void end_call(GObject* session, GAsyncResult* result, gpointer data)
{
    std::unique_ptr<open_call> const call(static_cast<open_call*>(data));
    GError*                          error = nullptr;
    GBytes* const                    bytes = soup_session_send_and_read_finish(
                           SOUP_SESSION(session), result, &error);
    http_reply const reply = make_reply(call->message_, bytes, error);
    if (call->timer_ != 0)
    {
        g_source_remove(call->timer_);
    }
    g_clear_error(&error);
    if (bytes)
    {
        g_bytes_unref(bytes);
    }
    g_object_unref(call->message_);
    g_object_unref(call->cancellable_);
    call->done_(reply);
}

} // namespace

// 3. Client

void http_client::session_deleter::operator()(SoupSession* session) const
{
    g_object_unref(session);
}

// The proxy resolver is off: calls go to the named addresses only. Libsoup
// allows 2 connections per host by default, which would queue calls of `load`.
http_client::http_client(options const& values, std::ostream& errors)
    : values_(values)
    , errors_(errors)
    , session_(soup_session_new_with_options(
          "proxy-resolver", nullptr, "max-conns",
          static_cast<int>(values.concurrency_ * values.servers_.size() + 1),
          "max-conns-per-host", static_cast<int>(values.concurrency_ + 1),
          nullptr))
    , trace_id_(make_random_hex(16))
{
}

http_reply http_client::call(http_request const& request,
                             std::int64_t        timeout_ms)
{
    std::int64_t const deadline =
        g_get_monotonic_time() + std::max<std::int64_t>(timeout_ms, 1) * 1000;
    for (std::size_t tried = 1;; ++tried)
    {
        std::optional<http_reply> reply;
        std::int64_t const        left = std::max<std::int64_t>(
            (deadline - g_get_monotonic_time()) / 1000, 1);
        start(current_, request, left,
              [&](http_reply const& ended)
              {
                  reply.emplace(ended);
              });
        while (!reply)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
        bool const repeats = request.repeatable_ &&
                             (reply->fault_ == call_fault::no_connection ||
                              reply->fault_ == call_fault::lost);
        if (!repeats || tried >= count_servers())
        {
            return *reply;
        }
        current_ = (current_ + 1) % count_servers();
    }
}

void http_client::start(std::size_t server, http_request const& request,
                        std::int64_t                           timeout_ms,
                        std::function<void(http_reply const&)> done)
{
    SoupMessage* const message =
        make_message(values_.servers_.at(server), request);
    auto* const call = new open_call{.message_ = message,
                                     .cancellable_ = g_cancellable_new(),
                                     .timer_ = 0,
                                     .done_ = std::move(done)};
    call->timer_ =
        g_timeout_add(static_cast<guint>(std::max<std::int64_t>(timeout_ms, 1)),
                      &expire_call, call);
    soup_session_send_and_read_async(session_.get(), message,
                                     G_PRIORITY_DEFAULT, call->cancellable_,
                                     &end_call, call);
}

std::size_t http_client::count_servers() const
{
    return values_.servers_.size();
}

SoupMessage* http_client::make_message(std::string const&  server,
                                       http_request const& request)
{
    SoupMessage* const message = soup_message_new(
        request.method_.c_str(), make_url(server, request.path_).c_str());
    if (!message)
    {
        throw ctl_error(exit_code::usage, "malformed address: " + server);
    }
    std::string const trace =
        "00-" + trace_id_ + "-" + make_random_hex(8) + "-01";
    set_header(message, "traceparent", trace);
    set_keys(message, values_, request.key_);
    set_body(message, request.body_);
    if (values_.verbose_)
    {
        errors_ << request.method_ << ' ' << server << request.path_
                << " traceparent " << trace << '\n';
    }
    return message;
}

} // namespace fescuevane::ctl
