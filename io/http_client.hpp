// Purpose: HTTP requests with deadlines, over connections that are kept.
#ifndef FESCUEVANE_IO_HTTP_CLIENT_HPP
#define FESCUEVANE_IO_HTTP_CLIENT_HPP

#include <libsoup/soup.h>
#include <array>
#include <functional>
#include <memory>
#include <string>

namespace fescuevane::io
{

struct http_request;
struct http_response;

// Runs in the main loop. A request that isn't answered by its deadline is given
// up with its connection. The other connections to its address may have gone
// silent at the same moment, so later requests use new ones.
class http_client
{
public:
    using reply_function = std::function<void(http_response const&)>;

    // `connections` bounds those to one address.
    explicit http_client(int connections);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    // `reply` is called once, later, unless the client is destroyed before.
    void send(http_request const& request, reply_function reply);

private:
    struct flight; // a request without a response

    // A session of the library holds the connections to some addresses. It is
    // closed when neither the client nor a request in flight uses it.
    using session_ptr = std::shared_ptr<SoupSession>;

    // With each call, a session tests all of its connections that are idle by a
    // system call. So addresses are spread over sessions.
    static constexpr std::size_t max_sessions = 64;

    session_ptr& find_session(std::string const& address);
    void         leave_session(session_ptr const& session);
    static void  on_reply(GObject* session, GAsyncResult* result, void* data);

    int const                             connections_;
    std::array<session_ptr, max_sessions> sessions_; // null: not needed yet
    std::shared_ptr<bool>                 alive_;
};

} // namespace fescuevane::io

#endif
