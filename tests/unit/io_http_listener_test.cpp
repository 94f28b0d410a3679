// Purpose: tests of a bounded HTTP server over loopback.
#include "io/http_listener.hpp"
#include "io/main_loop.hpp"
#include "io/socket_ptr.hpp"

#include <doctest/doctest.h>
#include <string>

namespace fescuevane::io
{
namespace
{

struct listener_fixture
{
    std::size_t               handled_ = 0;
    std::string               body_; // of the last handled request
    std::vector<http_refusal> refused_;
    std::size_t               logged_ = 0;
    http_listener             listener_;

    listener_fixture()
        : listener_(soup_server_new(nullptr, nullptr),
                    {.max_connections_ = 2,
                     .max_header_bytes_ = 1000,
                     .max_body_bytes_ = 100,
                     .read_micros_ = 300'000},
                    {.refused_ =
                         [this](http_refusal reason)
                     {
                         refused_.push_back(reason);
                     },
                     .write_body_ =
                         [](unsigned /*status*/, std::string const& reason)
                     {
                         return reason;
                     },
                     .log_ =
                         [this](http_refusal, std::uint64_t)
                     {
                         ++logged_;
                     }})
    {
        listener_.listen("127.0.0.1:0");
        soup_server_add_handler(listener_.server(), nullptr, &on_call, this,
                                nullptr);
    }

    static void on_call(SoupServer* /*server*/, SoupServerMessage* message,
                        char const* /*path*/, GHashTable* /*query*/, void* own)
    {
        auto& self = *static_cast<listener_fixture*>(own);
        ++self.handled_;
        self.body_ = http_listener::take_body(message);
        soup_server_message_set_status(message, 200, nullptr);
        soup_server_message_set_response(message, "text/plain",
                                         SOUP_MEMORY_STATIC, "ok", 2);
    }

    socket_ptr connect() const
    {
        socket_ptr            socket(g_socket_new(G_SOCKET_FAMILY_IPV4,
                                                  G_SOCKET_TYPE_STREAM,
                                                  G_SOCKET_PROTOCOL_TCP, nullptr));
        GSocketAddress* const place = g_inet_socket_address_new_from_string(
            "127.0.0.1", listener_.port());
        REQUIRE(g_socket_connect(socket.get(), place, nullptr, nullptr) !=
                FALSE);
        g_object_unref(place);
        g_socket_set_blocking(socket.get(), FALSE);
        return socket;
    }

    static void send(socket_ptr const& socket, std::string const& text)
    {
        g_socket_send(socket.get(), text.data(), text.size(), nullptr, nullptr);
    }

    // What the server sends until it has sent `wanted` or closes; "closed" is
    // added then.
    static std::string receive(socket_ptr const&  socket,
                               std::string const& wanted)
    {
        std::string   text;
        instant const limit = read_clock().after(10 * micros_per_second);
        while (text.find(wanted) == std::string::npos && read_clock() < limit)
        {
            g_main_context_iteration(nullptr, FALSE);
            std::array<char, 1000> part{};
            auto const size = g_socket_receive(socket.get(), part.data(),
                                               part.size(), nullptr, nullptr);
            if (size > 0)
            {
                text.append(part.data(), static_cast<std::size_t>(size));
            }
            else if (size == 0)
            {
                return text + "closed";
            }
            else
            {
                g_usleep(1000);
            }
        }
        return text;
    }

    // Lets the server run while nothing is expected.
    static void receive_for(socket_ptr const& socket, std::int64_t micros)
    {
        instant const limit = read_clock().after(micros);
        while (read_clock() < limit)
        {
            g_main_context_iteration(nullptr, FALSE);
            g_usleep(1000);
        }
        CHECK(g_socket_is_connected(socket.get()) != FALSE);
    }

    static bool has(std::string const& text, std::string const& part)
    {
        return text.find(part) != std::string::npos;
    }
};

} // namespace

// Guards against bodies that are lost on their way around the library's list.
TEST_CASE_FIXTURE(listener_fixture,
                  "listener, kept connection, serves bodies up to the limit")
{
    socket_ptr const client = connect();
    for (int count = 0; count < 3; ++count)
    {
        send(client,
             "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" +
                 std::string(100, 'b'));
        CHECK(has(receive(client, "ok"), " 200 "));
        CHECK(body_ == std::string(100, 'b'));
    }
    send(client, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                 "\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
    CHECK(has(receive(client, "ok"), " 200 "));
    CHECK(body_ == "abc");
    CHECK(refused_.empty());
}

// Guards against refusals that come only once the whole body was sent.
TEST_CASE_FIXTURE(listener_fixture,
                  "listener, announced body above the limit, refuses before "
                  "the body")
{
    socket_ptr const client = connect();
    send(client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
    std::string const answer = receive(client, "closed");
    CHECK(has(answer, "HTTP/1.1 413 "));
    CHECK(has(answer, "Connection: close"));
    CHECK(handled_ == 0);
    CHECK(refused_ == std::vector{http_refusal::body_too_large});
}

// Guards against a client that waits for "100 Continue" and gets two answers.
TEST_CASE_FIXTURE(listener_fixture,
                  "listener, client that waits to send its body, answers once")
{
    socket_ptr const refused = connect();
    send(refused, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n"
                  "Expect: 100-continue\r\n\r\n");
    std::string const answer = receive(refused, "closed");
    CHECK(has(answer, "HTTP/1.1 413 "));
    CHECK(!has(answer, "100 Continue"));
    socket_ptr const served = connect();
    send(served, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                 "Expect: 100-continue\r\n\r\n");
    CHECK(has(receive(served, "100 Continue"), "100 Continue"));
    send(served, "abc");
    CHECK(has(receive(served, "ok"), " 200 "));
}

// Guards against headers above the limit that the library would still take.
TEST_CASE_FIXTURE(listener_fixture, "listener, long headers, refuses with 431")
{
    socket_ptr const client = connect();
    send(client, "GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(1200, 'x') +
                     "\r\n\r\n");
    CHECK(has(receive(client, "closed"), "HTTP/1.1 431 "));
}

// Guards against senders of single bytes that keep their places, and against a
// deadline that ends idle connections.
TEST_CASE_FIXTURE(listener_fixture,
                  "listener, request that isn't finished in time, refuses only "
                  "that one")
{
    socket_ptr const idle = connect();
    socket_ptr const slow = connect();
    send(slow, "GET / HT");
    std::string const answer = receive(slow, "closed");
    CHECK(has(answer, "HTTP/1.1 504 "));
    CHECK(!has(answer, "Retry-After"));
    send(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(has(receive(idle, "ok"), " 200 "));
    CHECK(refused_ == std::vector{http_refusal::too_slow});
}

// Guards against a request that runs although its connection was closed with
// the promise that it never does: its last bytes were in the system's queue.
TEST_CASE_FIXTURE(listener_fixture,
                  "listener, request closed for others before its end, isn't "
                  "handled")
{
    socket_ptr const first = connect();
    send(first, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
                "\r\n\r\n2\r\nab\r\n");
    socket_ptr const second = connect();
    receive_for(first, 20'000);
    REQUIRE(listener_.connections() == 2);
    REQUIRE(handled_ == 0);
    // Both are there when the server looks next; it accepts first.
    socket_ptr const third = connect();
    send(first, "0\r\n\r\n");
    CHECK(!has(receive(first, "closed"), " 200 "));
    CHECK(handled_ == 0);
    CHECK(refused_ == std::vector{http_refusal::no_place});
}

// Guards against a listener that stops to accept at its bound.
TEST_CASE_FIXTURE(listener_fixture,
                  "listener, all places idle, closes the oldest for a new one")
{
    socket_ptr const first = connect();
    socket_ptr const second = connect();
    socket_ptr const third = connect();
    CHECK(receive(first, "closed") == "closed");
    send(third, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(has(receive(third, "ok"), " 200 "));
    CHECK(listener_.connections() == 2);
    CHECK(logged_ == 1);
}

} // namespace fescuevane::io
