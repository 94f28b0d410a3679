// Purpose: tests of HTTP requests over connections that are kept, against a
// server on the loopback interface.
#include "io/http_client.hpp"
#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"

#include <doctest/doctest.h>
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::io
{
namespace
{

// The server replies once `gather_` requests have come, so that the client
// opens as many connections, and replies on none of the silenced ones.
struct http_client_fixture
{
    static constexpr std::int64_t timeout_micros = 300'000;
    static constexpr int          max_connections = 8;

    SoupServer*                     server_;
    std::string                     address_;
    http_client                     client_{max_connections};
    std::size_t                     gather_ = 1;
    std::vector<SoupServerMessage*> gathered_;
    std::set<std::uint16_t>         ports_;    // of the client, all so far
    std::set<std::uint16_t>         silenced_; // those without a reply
    bool                            silences_next_ = false; // the next one used
    std::vector<unsigned>           statuses_; // of the replies, 0: none

    http_client_fixture() : server_(soup_server_new(nullptr, nullptr))
    {
        soup_server_add_handler(server_, "/", &on_request, this, nullptr);
        REQUIRE(soup_server_listen_local(
            server_, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr));
        GSList* const uris = soup_server_get_uris(server_);
        address_ =
            "127.0.0.1:" +
            std::to_string(g_uri_get_port(static_cast<GUri*>(uris->data)));
        g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(&g_uri_unref));
    }
    ~http_client_fixture()
    {
        soup_server_disconnect(server_);
        g_object_unref(server_);
    }
    http_client_fixture(http_client_fixture const&) = delete;
    http_client_fixture& operator=(http_client_fixture const&) = delete;

    static std::uint16_t port_of(SoupServerMessage* message)
    {
        return g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(
            soup_server_message_get_remote_address(message)));
    }

    static void on_request(SoupServer* /*server*/, SoupServerMessage* message,
                           char const* /*path*/, GHashTable* /*query*/,
                           void* data)
    {
        auto& own = *static_cast<http_client_fixture*>(data);
        own.ports_.insert(port_of(message));
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_server_message_pause(message);
        if (std::exchange(own.silences_next_, false))
        {
            own.silenced_.insert(port_of(message));
        }
        if (own.silenced_.contains(port_of(message)))
        {
            return;
        }
        own.gathered_.push_back(message);
        if (own.gathered_.size() < own.gather_)
        {
            return;
        }
        for (SoupServerMessage* const open : own.gathered_)
        {
            soup_server_message_unpause(open);
        }
        own.gathered_.clear();
    }

    void send(std::int64_t micros = timeout_micros)
    {
        client_.send({.method_ = "POST",
                      .address_ = address_,
                      .path_ = "/",
                      .body_ = "{}",
                      .deadline_ = read_clock().after(micros)},
                     [this](http_response const& response)
                     {
                         statuses_.push_back(response.status_);
                     });
    }

    // Each request ends at its deadline at the latest.
    void run_until_replies(std::size_t count)
    {
        while (statuses_.size() < count)
        {
            g_main_context_iteration(nullptr, TRUE);
        }
    }

    void open_connections(std::size_t count)
    {
        gather_ = count;
        for (std::size_t request = 0; request < count; ++request)
        {
            send(10 * micros_per_second);
        }
        run_until_replies(count);
        REQUIRE(statuses_ == std::vector<unsigned>(count, 200));
        REQUIRE(ports_.size() == count);
        statuses_.clear();
        gather_ = 1;
    }
};

// Guards against an old configuration that stays in force for seconds: after
// all connections of a pool had gone silent, each of them cost a time-out.
TEST_CASE_FIXTURE(http_client_fixture,
                  "idle connections silent, one timed out, next request gets "
                  "a reply")
{
    open_connections(5);
    silenced_ = ports_;
    send();
    run_until_replies(1);
    CHECK(statuses_ == std::vector<unsigned>{0});
    send();
    run_until_replies(2);
    CHECK(statuses_ == std::vector<unsigned>{0, 200});
}

// Guards against requests that are given up together with a silent connection
// although their own connections work.
TEST_CASE_FIXTURE(http_client_fixture,
                  "one connection silent, requests on others get their replies")
{
    open_connections(2);
    silences_next_ = true;
    send();
    while (silenced_.empty())
    {
        g_main_context_iteration(nullptr, TRUE);
    }
    gather_ = 2; // so that the second reply comes after the time-out
    send(10 * micros_per_second);
    run_until_replies(1);
    CHECK(statuses_ == std::vector<unsigned>{0});
    send(10 * micros_per_second);
    run_until_replies(3);
    CHECK(statuses_ == std::vector<unsigned>{0, 200, 200});
}

// Guards against new connections for each request.
TEST_CASE_FIXTURE(http_client_fixture,
                  "requests one after another, one connection is kept")
{
    for (std::size_t request = 1; request <= 5; ++request)
    {
        send();
        run_until_replies(request);
    }
    CHECK(statuses_ == std::vector<unsigned>(5, 200));
    CHECK(ports_.size() == 1);
}

} // namespace
} // namespace fescuevane::io
