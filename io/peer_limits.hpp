// Purpose: bounds on what connections of other hosts may hold.
#ifndef FESCUEVANE_IO_PEER_LIMITS_HPP
#define FESCUEVANE_IO_PEER_LIMITS_HPP

#include "io/host_budget.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace fescuevane::io
{

struct peer_limits
{
    std::size_t max_connections_ = 243;
    std::size_t max_memory_bytes_ = 20 << 20; // of the library, for all of them

    friend auto operator<=>(peer_limits const&, peer_limits const&) = default;
};

// A sixteenth of the descriptors that aren't reserved, each connection taking
// two, or four behind a message guard, and an eighth of the memory. A host
// keeps one connection to each other host, and few more while connections
// change.
constexpr peer_limits make_peer_limits(host_budget const& budget)
{
    return {.max_connections_ = static_cast<std::size_t>(
                (budget.max_descriptors_ - reserved_descriptors) / 16),
            .max_memory_bytes_ =
                static_cast<std::size_t>(budget.memory_mb_ << 17U)};
}

} // namespace fescuevane::io

#endif
