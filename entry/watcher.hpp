// Purpose: who waits for the state of a job at its owner.
#ifndef FESCUEVANE_ENTRY_WATCHER_HPP
#define FESCUEVANE_ENTRY_WATCHER_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"

#include <compare>
#include <cstdint>

namespace fescuevane::entry
{

// The entry process that passed a call, which may be the owner itself.
struct watcher
{
    host_id       host_;
    std::uint64_t call_ = 0; // unique at that host
    shard_id      shard_;    // that the call was passed for

    friend auto operator<=>(watcher const&, watcher const&) = default;
};

} // namespace fescuevane::entry

#endif
