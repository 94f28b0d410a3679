// Purpose: HTTP requests with deadlines, over connections that are kept.
#include "io/http_client.hpp"

#include "io/deadline_queue.hpp"
#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"

#include <libsoup/soup.h>
#include <utility>

namespace fescuevane::io
{
namespace
{

constexpr int max_connections = 800;
constexpr int idle_seconds = 20;

// One request in flight; freed by `on_reply`.
struct flight
{
    http_client::reply_function reply_;
    std::shared_ptr<bool>       alive_;
    SoupMessage*                message_ = nullptr;
    GCancellable*               cancel_ = nullptr;
    deadline_queue::entry       deadline_;
    bool                        late_ = false; // the deadline has passed
};

deadline_queue& find_deadlines()
{
    static deadline_queue deadlines; // of all clients of the main loop
    return deadlines;
}

void on_reply(GObject* session, GAsyncResult* result, void* data)
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
    if (*own->alive_)
    {
        own->reply_(response);
    }
}

} // namespace

http_client::http_client(int connections)
    : connections_(connections), alive_(std::make_shared<bool>(true))
{
}

http_client::~http_client()
{
    *alive_ = false;
    for (SoupSession* const session : sessions_)
    {
        if (session != nullptr)
        {
            soup_session_abort(session);
            g_object_unref(session);
        }
    }
}

// An address always has the same session, which bounds its connections.
SoupSession* http_client::find_session(std::string const& address)
{
    SoupSession*& session =
        sessions_.at(std::hash<std::string>{}(address) % max_sessions);
    if (session == nullptr)
    {
        session = soup_session_new_with_options(
            "max-conns", max_connections, "max-conns-per-host", connections_,
            "timeout", 0, "idle-timeout", idle_seconds, "proxy-resolver",
            nullptr, nullptr);
        soup_session_set_proxy_resolver(session, nullptr);
        soup_session_remove_feature_by_type(session, SOUP_TYPE_CONTENT_DECODER);
    }
    return session;
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
    own->deadline_ =
        find_deadlines().add(request.deadline_,
                             [own]
                             {
                                 own->late_ = true;
                                 g_cancellable_cancel(own->cancel_);
                             });
    soup_session_send_and_read_async(find_session(request.address_),
                                     own->message_, G_PRIORITY_DEFAULT,
                                     own->cancel_, &on_reply, own);
}

} // namespace fescuevane::io
