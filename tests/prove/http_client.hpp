// Purpose: asynchronous HTTP calls on the default main context.
#ifndef FESCUEVANE_TESTS_PROVE_HTTP_CLIENT_HPP
#define FESCUEVANE_TESTS_PROVE_HTTP_CLIENT_HPP

#include "tests/prove/http_reply.hpp"

#include <libsoup/soup.h>

#include <cstdint>
#include <functional>
#include <string>

namespace fescuevane::prove
{

struct http_request
{
    std::string const  address_; // IP and port
    std::string const  path_;
    bool const         post_ = false; // otherwise GET
    std::string const  body_;
    std::string const  team_; // empty: no header
    std::string const  key_;
    std::int64_t const timeout_ms_ = 0;
};

class http_client
{
public:
    using reply_handler = std::function<void(http_reply const&)>;

    http_client();
    ~http_client(); // ends open calls without telling them
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    // `done` is called once, from the main loop.
    void         send(http_request const& request, reply_handler done);
    std::int64_t count_open() const { return open_; }

private:
    struct exchange;

    static gboolean expire(gpointer data);
    static void finish(GObject* session, GAsyncResult* result, gpointer data);

    SoupSession* session_;
    std::int64_t open_ = 0;
    bool         closing_ = false;
};

} // namespace fescuevane::prove

#endif
