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

// Runs in the main loop. A request that isn't answered by its deadline is
// given up with its connection, so that a silent connection is never used
// again.
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
    // With each call, a session of the library tests all of its connections
    // that are idle by a system call. So addresses are spread over sessions.
    static constexpr std::size_t max_sessions = 64;

    SoupSession* find_session(std::string const& address);

    int const                              connections_;
    std::array<SoupSession*, max_sessions> sessions_{}; // null: not needed yet
    std::shared_ptr<bool>                  alive_;
};

} // namespace fescuevane::io

#endif
