// Purpose: HTTP requests with deadlines, over connections that are kept.
#ifndef FESCUEVANE_IO_HTTP_CLIENT_HPP
#define FESCUEVANE_IO_HTTP_CLIENT_HPP

#include <libsoup/soup.h>
#include <functional>
#include <memory>

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
    SoupSession*          session_;
    std::shared_ptr<bool> alive_;
};

} // namespace fescuevane::io

#endif
