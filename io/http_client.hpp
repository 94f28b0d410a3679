// Purpose: HTTP requests with deadlines, over connections that are kept.
#ifndef FESCUEVANE_IO_HTTP_CLIENT_HPP
#define FESCUEVANE_IO_HTTP_CLIENT_HPP

#include "io/answer_limits.hpp"

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

    // `connections` bounds those to one address. An answer beyond the limits
    // counts as none, and its connection is closed.
    explicit http_client(int                  connections,
                         answer_limits const& limits = answer_limits());
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
    static void  on_headers(GObject* session, GAsyncResult* result, void* data);
    static void  read_more(flight* own);
    static void  on_read(GObject* stream, GAsyncResult* result, void* data);
    static void  close(flight* own);
    static void  on_closed(GObject* stream, GAsyncResult* result, void* data);
    static void  finish(flight* own);

    int const           connections_;
    answer_limits const limits_;
    // Bytes of answers that are being read. Requests in flight outlive the
    // client.
    std::shared_ptr<std::size_t>          held_bytes_;
    std::array<session_ptr, max_sessions> sessions_; // null: not needed yet
    std::shared_ptr<bool>                 alive_;
};

} // namespace fescuevane::io

#endif
