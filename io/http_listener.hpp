// Purpose: an HTTP server whose clients hold no more than its limits allow.
#ifndef FESCUEVANE_IO_HTTP_LISTENER_HPP
#define FESCUEVANE_IO_HTTP_LISTENER_HPP

#include "core/instant.hpp"
#include "io/http_limits.hpp"
#include "io/http_refusal.hpp"

#include <libsoup/soup.h>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace fescuevane::io
{

// What a listener tells its process; called in the main loop.
struct http_listener_handlers
{
    std::function<void(http_refusal)> refused_;
    // JSON body of a refusal, from its status and reason.
    std::function<std::string(unsigned, std::string const&)> write_body_;
    // Limit of one body now; empty: that of the limits.
    std::function<std::uint64_t()> max_body_bytes_;
    // At most once a second, with the refusals since the last call.
    std::function<void(http_refusal, std::uint64_t)> log_;
};

// Accepts connections for `server()` and closes those that break a limit. The
// handlers of the server see only requests inside the limits; they read a body
// by `take_body`, since the library keeps none. A refusal is an answer with
// `Connection: close`, and none of its requests was handled.
class http_listener
{
public:
    // Takes over the server, which has no listening socket.
    http_listener(SoupServer* server, http_limits const& limits,
                  http_listener_handlers handlers);
    ~http_listener();
    http_listener(http_listener const&) = delete;
    http_listener& operator=(http_listener const&) = delete;

    // Throws std::runtime_error when the address, IP:port, can't be listened
    // on.
    void          listen(std::string const& address);
    SoupServer*   server() const;
    std::uint16_t port() const; // bound one, also when the address has port 0
    void          stop_listening();
    std::size_t   connections() const;

    // Null when the connection has ended.
    static GSocket*    find_socket(SoupServerMessage* message);
    static std::string take_body(SoupServerMessage* message);

private:
    struct state;
    std::shared_ptr<state> state_; // connections may outlive the listener
};

std::size_t count_header_bytes(SoupServerMessage* message);

} // namespace fescuevane::io

#endif
