// Purpose: bounds on what the clients of one HTTP port may hold.
#ifndef FESCUEVANE_IO_HTTP_LIMITS_HPP
#define FESCUEVANE_IO_HTTP_LIMITS_HPP

#include "core/instant.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace fescuevane::io
{

struct host_budget;

struct http_limits
{
    std::size_t   max_connections_ = 1950;
    std::uint64_t max_header_bytes_ = 16'384;     // callers send some hundred
    std::uint64_t max_body_bytes_ = 262'144;      // of one request
    std::uint64_t max_body_sum_bytes_ = 20 << 20; // of all open requests
    // From the headers of a request to its last byte. Headers may take up to
    // twice this.
    std::int64_t read_micros_ = 30 * micros_per_second;
    // From the last byte of a request to the last one of its answer. Longer
    // than any caller may wait.
    std::int64_t answer_micros_ = 660 * micros_per_second;
    // For the rest of a refused request: a client that still sends reads the
    // refusal only once the connection takes what it sends.
    std::int64_t drain_micros_ = 3 * micros_per_second;

    friend auto operator<=>(http_limits const&, http_limits const&) = default;
};

// Of one port for callers: half of the descriptors that aren't reserved, and an
// eighth of the memory for bodies.
http_limits make_caller_limits(host_budget const& budget,
                               std::uint64_t      max_body_bytes);
// Of a port for probes and scrapes, whose requests have no bodies: at most an
// eighth of the descriptors that aren't reserved.
http_limits make_probe_limits(host_budget const& budget);

} // namespace fescuevane::io

#endif
