// Purpose: processor time of HTTP calls, with the servers in another process.
#include "bench/child_process.hpp"
#include "bench/measure.hpp"

#include "io/http_client.hpp"
#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"
#include "io/timer.hpp"

#include <libsoup/soup.h>
#include <string>

namespace fescuevane::bench
{
namespace
{

constexpr std::int64_t deadline_micros = 1'000'000;
constexpr std::int64_t http_interval_micros = 2'000;

void answer_http(SoupServer* /*server*/, SoupServerMessage* message,
                 char const* /*path*/, GHashTable* /*query*/, void* /*data*/)
{
    static constexpr char body[] =
        R"({"clockMs":482113,"running":[],"terminated":[]})";
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_STATIC, body, sizeof body - 1);
}

usage serve_http(std::vector<std::string> const& addresses)
{
    SoupServer* const server = soup_server_new(nullptr, nullptr);
    soup_server_add_handler(server, nullptr, &answer_http, nullptr, nullptr);
    for (std::string const& address : addresses)
    {
        auto const port = port_of(address);
        soup_server_listen_local(server, port, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                 nullptr);
    }
    std::uint64_t const calls = 0;
    return run_measured(calls);
}

usage call_http(std::vector<std::string> const& addresses)
{
    io::http_client client(1);
    std::uint64_t   answered = 0;
    std::size_t     next = 0;
    io::timer       send(
        [&]
        {
            client.send(
                      {.method_ = "POST",
                       .address_ = addresses[next++ % addresses.size()],
                       .path_ = "/hold",
                       .headers_ = {{"X-Fescuevane-Expected-Instance", "target-1"}},
                       .body_ = R"({"deadlineMs":486000,"fence":7,"waitMs":1000})",
                       .deadline_ = io::read_clock().after(deadline_micros)},
                      [&answered](io::http_response const& response)
                      {
                    answered += response.status_ == SOUP_STATUS_OK ? 1 : 0;
                });
            send.arm(io::read_clock().after(http_interval_micros));
        });
    // The servers listen by then.
    send.arm(io::read_clock().after(warm_up_micros / 4));
    return run_measured(answered);
}

} // namespace

void measure_http(std::uint64_t /*seed*/, std::vector<figure>& output)
{
    for (std::size_t const servers :
         {1, 16, 120}) // a store, targets of a shard
    {
        auto const    addresses = find_addresses(servers);
        child_process server(
            [&addresses]
            {
                return serve_http(addresses);
            });
        child_process client(
            [&addresses]
            {
                return call_http(addresses);
            });
        usage const used = client.wait();
        server.wait();
        std::string const setting = std::to_string(servers) + " addresses";
        output.push_back({"http", setting, "call, us of client",
                          used.cpu_micros_ / static_cast<double>(used.calls_)});
        output.push_back({"http", setting, "call, wake-ups of client",
                          used.switches_ / static_cast<double>(used.calls_)});
    }
}

} // namespace fescuevane::bench
