// Purpose: calls of the HTTP API over one GMainLoop.
#ifndef FESCUEVANE_CTL_HTTP_CLIENT_HPP
#define FESCUEVANE_CTL_HTTP_CLIENT_HPP

#include "ctl/http_reply.hpp"
#include "ctl/http_request.hpp"

#include <libsoup/soup.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <memory>
#include <string>

namespace fescuevane::ctl
{

struct options;

// Sends calls to the servers of the options. Uses the default main context.
class http_client
{
public:
    // Traces are printed to `errors` when the options ask for it. `values`
    // and `errors` must outlive the client.
    http_client(options const& values, std::ostream& errors);

    // Sends the call and runs the main loop until it has ended. A repeatable
    // call that finds no connection, or loses it, goes to the next server.
    http_reply call(http_request const& request, std::int64_t timeout_ms);

    // Starts the call at one server; `done` is called from the main loop.
    // Throws ctl_error when the address is malformed.
    void start(std::size_t server, http_request const& request,
               std::int64_t                           timeout_ms,
               std::function<void(http_reply const&)> done);

    std::size_t count_servers() const;

private:
    struct session_deleter
    {
        void operator()(SoupSession* session) const;
    };

    SoupMessage* make_message(std::string const&  server,
                              http_request const& request);

    options const&                                values_;
    std::ostream&                                 errors_;
    std::unique_ptr<SoupSession, session_deleter> session_;
    std::string                                   trace_id_; // of this run
    std::size_t current_ = 0; // server that answered last
};

} // namespace fescuevane::ctl

#endif
