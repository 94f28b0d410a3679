// Purpose: HTTP requests with deadlines, over connections that are kept.
#include "io/http_client.hpp"

#include "io/deadline_queue.hpp"
#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"

#include <libsoup/soup.h>
#include <algorithm>
#include <utility>

namespace fescuevane::io
{
namespace
{

constexpr int max_connections = 800;
constexpr int idle_seconds = 20;

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

// Freed by `on_reply`.
struct http_client::flight
{
    reply_function        reply_;
    std::shared_ptr<bool> alive_;
    SoupMessage*          message_ = nullptr;
    GCancellable*         cancel_ = nullptr;
    deadline_queue::entry deadline_;
    bool                  late_ = false; // the deadline has passed
    session_ptr           session_;
};

void http_client::on_reply(GObject* session, GAsyncResult* result, void* data)
{
    std::unique_ptr<flight> const own(static_cast<flight*>(data));
    GError*                       error = nullptr;
    GBytes* const                 bytes = soup_session_send_and_read_finish(
                        SOUP_SESSION(session), result, &error);
    http_response response;
    if (bytes == nullptr)
    {
        response.error_ = own->late_         ? "no answer by the deadline"
                          : error != nullptr ? error->message
                                             : "no response";
    }
    else
    {
        gsize       size = 0;
        auto* const data_of_body =
            static_cast<char const*>(g_bytes_get_data(bytes, &size));
        response.status_ = soup_message_get_status(own->message_);
        response.body_.assign(data_of_body == nullptr ? "" : data_of_body,
                              size);
        g_bytes_unref(bytes);
    }
    g_clear_error(&error);
    find_deadlines().remove(own->deadline_);
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

http_client::http_client(int connections)
    : connections_(connections), alive_(std::make_shared<bool>(true))
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
    auto*             own = new flight{std::move(reply), alive_};
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
    soup_session_send_and_read_async(own->session_.get(), own->message_,
                                     G_PRIORITY_DEFAULT, own->cancel_,
                                     &on_reply, own);
}

} // namespace fescuevane::io
