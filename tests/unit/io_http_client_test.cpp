// Purpose: tests of HTTP requests over connections that are kept, against a
// server on the loopback interface.
#include "io/http_client.hpp"
#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"

#include <doctest/doctest.h>
#include <gio/gio.h>
#include <libsoup/soup.h>
#include <algorithm>
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
    http_client                     client_;
    std::size_t                     gather_ = 1;
    std::vector<SoupServerMessage*> gathered_;
    std::set<std::uint16_t>         ports_;    // of the client, all so far
    std::set<std::uint16_t>         silenced_; // those without a reply
    bool                            silences_next_ = false; // the next one used
    std::vector<unsigned>           statuses_; // of the replies, 0: none
    std::vector<std::size_t>        sizes_;    // of the replies
    std::string                     answer_;   // of the server
    bool                            chunked_ = false;
    bool                            stalls_ = false; // no end of the answer

    explicit http_client_fixture(answer_limits const& limits = answer_limits())
        : server_(soup_server_new(nullptr, nullptr))
        , client_(max_connections, limits)
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
        if (own.stalls_)
        {
            // One chunk, and no end.
            SoupMessageHeaders* const headers =
                soup_server_message_get_response_headers(message);
            soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
            soup_message_body_append(
                soup_server_message_get_response_body(message),
                SOUP_MEMORY_COPY, own.answer_.data(), own.answer_.size());
            return;
        }
        soup_server_message_set_response(message, "text/plain",
                                         SOUP_MEMORY_COPY, own.answer_.data(),
                                         own.answer_.size());
        if (own.chunked_)
        {
            soup_message_headers_set_encoding(
                soup_server_message_get_response_headers(message),
                SOUP_ENCODING_CHUNKED);
            soup_message_body_complete(
                soup_server_message_get_response_body(message));
        }
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
                         sizes_.push_back(response.body_.size());
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

// One answer may take 100,000 bytes, and all together 200,000.
struct bounded_answers_fixture : http_client_fixture
{
    static constexpr std::size_t most = 100'000;

    bounded_answers_fixture()
        : http_client_fixture({.max_bytes_ = most,
                               .max_sum_bytes_ = 2 * most,
                               .small_bytes_ = 1000})
    {
    }

    void answer_with(std::size_t bytes) { answer_.assign(bytes, 'x'); }
};

// Guards against a process that a service fills by one answer.
TEST_CASE_FIXTURE(bounded_answers_fixture,
                  "answer beyond the bound, announced or not, counts as none, "
                  "the next one is read")
{
    SUBCASE("announced") {}
    SUBCASE("chunked")
    {
        chunked_ = true;
    }
    answer_with(most + 1);
    send(10 * micros_per_second);
    run_until_replies(1);
    CHECK(statuses_ == std::vector<unsigned>{0});
    answer_with(most);
    send(10 * micros_per_second);
    run_until_replies(2);
    CHECK(statuses_ == std::vector<unsigned>{0, 200});
    CHECK(sizes_ == std::vector<std::size_t>{0, most});
}

// Guards against a process that stops with a service that stops in the middle
// of its answer.
TEST_CASE_FIXTURE(bounded_answers_fixture,
                  "answer without its end, request ends at its deadline, the "
                  "next one is read")
{
    answer_with(1000);
    stalls_ = true;
    send();
    run_until_replies(1);
    CHECK(statuses_ == std::vector<unsigned>{0});
    stalls_ = false;
    send(10 * micros_per_second);
    run_until_replies(2);
    CHECK(statuses_ == std::vector<unsigned>{0, 200});
}

// Guards against a process that many services fill together, and against
// ordinary answers that are lost beside theirs.
TEST_CASE_FIXTURE(bounded_answers_fixture,
                  "answers beyond the bound on their sum, some count as none, "
                  "later ones are read")
{
    answer_with(most);
    chunked_ = true;
    gather_ = 8;
    for (std::size_t request = 0; request < gather_; ++request)
    {
        send(10 * micros_per_second);
    }
    run_until_replies(gather_);
    CHECK(std::count(statuses_.begin(), statuses_.end(), 0) > 0);
    gather_ = 1;
    chunked_ = false;
    for (std::size_t const bytes : {std::size_t{1000}, most})
    {
        answer_with(bytes);
        send(10 * micros_per_second);
        run_until_replies(statuses_.size() + 1);
        CHECK(statuses_.back() == 200);
        CHECK(sizes_.back() == bytes);
    }
}

} // namespace
} // namespace fescuevane::io
