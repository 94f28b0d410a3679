// Purpose: HTTP server of a stand-in.
#ifndef FESCUEVANE_TESTS_SOAK_HTTP_SERVER_HPP
#define FESCUEVANE_TESTS_SOAK_HTTP_SERVER_HPP

#include "io/deadline_queue.hpp"

#include <libsoup/soup.h>
#include <functional>
#include <string>

namespace fescuevane::soak
{

struct http_call;

class http_server
{
public:
    using handler = std::function<void(http_call const&)>;

    // Throws std::runtime_error when it can't listen on IP:port.
    http_server(std::string const& address, handler handle);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

private:
    static void on_call(SoupServer* server, SoupServerMessage* message,
                        char const* path, GHashTable* query, void* own);
    void        handle(SoupServerMessage* message, char const* path,
                       GHashTable* query);

    handler const      handle_;
    SoupServer*        server_;
    io::deadline_queue silences_; // of dropped calls
};

} // namespace fescuevane::soak

#endif
