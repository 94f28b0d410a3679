// Purpose: processor time of following the entries of targets, which change
// with each of their heartbeats; the store is another process.
#include "bench/child_process.hpp"
#include "bench/measure.hpp"

#include "io/http_client.hpp"
#include "io/main_loop.hpp"
#include "io/measures.hpp"
#include "io/timer.hpp"
#include "platform/load_meter.hpp"
#include "platform/row_feed.hpp"

#include <libsoup/soup.h>
#include <algorithm>
#include <string>

namespace fescuevane::bench
{
namespace
{

constexpr std::uint64_t feed_targets = 350;
constexpr std::size_t   value_bytes = 330; // of one entry
constexpr std::int64_t  target_interval_micros = 1'500'000;

// Number of changes so far: each target changes its entry in each interval.
std::uint64_t count_changes()
{
    return static_cast<std::uint64_t>(io::read_clock().micros()) *
           feed_targets / target_interval_micros;
}

std::string write_target(std::uint64_t change)
{
    std::string const key = "target-" + std::to_string(change % feed_targets);
    std::string const value(value_bytes, 'x');
    char* const       encoded = g_base64_encode(
              reinterpret_cast<guchar const*>(value.data()), value.size());
    std::string row = R"({"table":"targets","part":"","key":")" + key +
                      R"(","value":")" + encoded + R"(","ver":)" +
                      std::to_string(change) + "}";
    g_free(encoded);
    return row;
}

// Answers with the rows that changed after a version, or with none.
void answer_feed(SoupServer* /*server*/, SoupServerMessage* message,
                 char const* /*path*/, GHashTable* query, void* /*data*/)
{
    auto const* const after =
        query == nullptr
            ? nullptr
            : static_cast<char const*>(g_hash_table_lookup(query, "after"));
    std::uint64_t const last = count_changes();
    std::uint64_t const seen = after == nullptr ? last : std::stoull(after);
    std::string         rows;
    for (std::uint64_t change = std::max(seen + 1, last - feed_targets);
         change <= last; ++change)
    {
        rows += (rows.empty() ? "" : ",") + write_target(change);
    }
    std::string const body =
        R"({"rows":[)" + rows + R"(],"ver":)" + std::to_string(last) + "}";
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, body.data(),
                                     body.size());
}

usage serve_feed(std::string const& address)
{
    SoupServer* const server = soup_server_new(nullptr, nullptr);
    soup_server_add_handler(server, nullptr, &answer_feed, nullptr, nullptr);
    soup_server_listen_local(server, port_of(address),
                             SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr);
    std::uint64_t const calls = 0;
    return run_measured(calls);
}

usage follow_feed(std::string const& address, std::int64_t gather_micros)
{
    io::http_client        client(4);
    std::uint64_t          rows = 0;
    io::measures           measures;
    constexpr std::int64_t lease_micros = 4'000'000;
    platform::load_meter   meter(measures, lease_micros, io::read_clock());
    platform::row_feed     feed(client, meter, address, "targets", {""},
                                gather_micros,
                                {.changed_ =
                                     [&rows](cell::stored_row const& row)
                                 {
                                 rows += row.value_.empty() ? 0 : 1;
                             },
                                 .complete_ = [] {},
                                 .contact_ = [](bool, std::string const&) {}});
    io::timer              start(
        [&feed]
        {
            feed.start();
        });
    start.arm(io::read_clock().after(warm_up_micros / 4)); // the server listens
    return run_measured(rows);
}

} // namespace

void measure_feed(std::uint64_t /*seed*/, std::vector<figure>& output)
{
    for (std::int64_t const gather_ms : {400, 2000, 5000})
    {
        auto const    addresses = find_addresses(1);
        child_process server(
            [&addresses]
            {
                return serve_feed(addresses[0]);
            });
        child_process reader(
            [&addresses, gather_ms]
            {
                return follow_feed(addresses[0], gather_ms * micros_per_milli);
            });
        usage const used = reader.wait();
        server.wait();
        double const seconds =
            static_cast<double>(measured_micros) / micros_per_second;
        std::string const setting =
            "350 targets, each " + std::to_string(gather_ms) + " ms";
        output.push_back({"feed", setting, "us/s", used.cpu_micros_ / seconds});
        output.push_back({"feed", setting, "rows/s",
                          static_cast<double>(used.calls_) / seconds});
    }
}

} // namespace fescuevane::bench
