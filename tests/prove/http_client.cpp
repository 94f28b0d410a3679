// Purpose: asynchronous HTTP calls on the default main context.
#include "tests/prove/http_client.hpp"

#include <memory>
#include <utility>

namespace fescuevane::prove
{

struct http_client::exchange
{
    http_client*  client_;
    SoupMessage*  message_;
    GCancellable* cancellable_;
    guint         timer_;
    reply_handler done_;
};

namespace
{

constexpr int max_connections = 2000;

call_end rate_error(GError const* error)
{
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    {
        return call_end::timed_out;
    }
    return g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)
               ? call_end::refused
               : call_end::broken;
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

} // namespace

http_client::http_client()
    : session_(soup_session_new_with_options(
          "proxy-resolver", nullptr, "max-conns", max_connections,
          "max-conns-per-host", max_connections, nullptr))
{
}

// What the handlers refer to may be gone after a failure of the run.
http_client::~http_client()
{
    closing_ = true;
    soup_session_abort(session_);
    while (open_ > 0)
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    g_object_unref(session_);
}

void http_client::send(http_request const& request, reply_handler done)
{
    std::string const  url = "http://" + request.address_ + request.path_;
    SoupMessage* const message =
        soup_message_new(request.post_ ? "POST" : "GET", url.c_str());
    set_header(message, "X-Team", request.team_);
    set_header(message, "X-Key", request.key_);
    if (!request.body_.empty())
    {
        GBytes* const bytes =
            g_bytes_new(request.body_.data(), request.body_.size());
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 bytes);
        g_bytes_unref(bytes);
    }
    auto* const call =
        new exchange{this, message, g_cancellable_new(), 0, std::move(done)};
    call->timer_ =
        g_timeout_add(static_cast<guint>(request.timeout_ms_), &expire, call);
    ++open_;
    soup_session_send_and_read_async(session_, message, G_PRIORITY_DEFAULT,
                                     call->cancellable_, &finish, call);
}

gboolean http_client::expire(gpointer data)
{
    auto* const call = static_cast<exchange*>(data);
    call->timer_ = 0;
    g_cancellable_cancel(call->cancellable_);
    return G_SOURCE_REMOVE;
}

void http_client::finish(GObject* session, GAsyncResult* result, gpointer data)
{
    std::unique_ptr<exchange> const call(static_cast<exchange*>(data));
    GError*                         error = nullptr;
    GBytes* const                   bytes = soup_session_send_and_read_finish(
                          SOUP_SESSION(session), result, &error);
    call_end const end = bytes ? call_end::replied : rate_error(error);
    unsigned const status = bytes ? soup_message_get_status(call->message_) : 0;
    nlohmann::json json;
    if (bytes)
    {
        gsize             size = 0;
        auto const* const text =
            static_cast<char const*>(g_bytes_get_data(bytes, &size));
        json = nlohmann::json::parse(text, text + size, nullptr, false);
        g_bytes_unref(bytes);
    }
    g_clear_error(&error);
    if (call->timer_ != 0)
    {
        g_source_remove(call->timer_);
    }
    g_object_unref(call->message_);
    g_object_unref(call->cancellable_);
    --call->client_->open_;
    if (call->client_->closing_)
    {
        return;
    }
    call->done_(
        {end, status, json.is_object() ? std::move(json) : nlohmann::json()});
}

} // namespace fescuevane::prove
