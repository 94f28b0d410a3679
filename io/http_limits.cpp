// Purpose: bounds on what the clients of one HTTP port may hold.
#include "io/http_limits.hpp"

#include "io/host_budget.hpp"

#include <algorithm>

namespace fescuevane::io
{

http_limits make_caller_limits(host_budget const& budget,
                               std::uint64_t      max_body_bytes)
{
    constexpr std::uint64_t bytes_per_mb = 1 << 20;
    constexpr std::uint64_t body_parts = 8;
    constexpr std::uint64_t connection_parts = 2;
    return {.max_connections_ = static_cast<std::size_t>(
                (budget.max_descriptors_ - reserved_descriptors) /
                connection_parts),
            .max_body_bytes_ = max_body_bytes,
            .max_body_sum_bytes_ =
                budget.memory_mb_ * bytes_per_mb / body_parts};
}

http_limits make_probe_limits(host_budget const& budget)
{
    constexpr std::uint64_t most_connections = 64;
    constexpr std::uint64_t connection_parts = 8;
    constexpr std::uint64_t max_body_bytes = 4096;
    auto const              max_connections = std::min(
                     most_connections,
                     (budget.max_descriptors_ - reserved_descriptors) / connection_parts);
    return {.max_connections_ = static_cast<std::size_t>(max_connections),
            .max_body_bytes_ = max_body_bytes,
            .max_body_sum_bytes_ = max_connections * max_body_bytes};
}

} // namespace fescuevane::io
