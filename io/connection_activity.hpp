// Purpose: what a connection did, as the system counts it.
#ifndef FESCUEVANE_IO_CONNECTION_ACTIVITY_HPP
#define FESCUEVANE_IO_CONNECTION_ACTIVITY_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>

namespace fescuevane::io
{

struct connection_activity
{
    std::uint64_t received_bytes_ = 0;
    std::uint64_t silent_ms_ = 0; // since the latest byte

    friend auto operator<=>(connection_activity const&,
                            connection_activity const&) = default;
};

connection_activity read_activity(int descriptor);

// Index of the connection that makes place for a new one: one that never sent
// anything, or else the one that has been silent for longest. Not for an empty
// list.
std::size_t choose_idle(std::span<connection_activity const> rows);

} // namespace fescuevane::io

#endif
