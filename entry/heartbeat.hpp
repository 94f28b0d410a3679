// Purpose: message between entry processes: the sender is alive.
#ifndef FESCUEVANE_ENTRY_HEARTBEAT_HPP
#define FESCUEVANE_ENTRY_HEARTBEAT_HPP

#include "core/ids.hpp"
#include "entry/shard_report.hpp"

#include <vector>

namespace fescuevane::entry
{

struct heartbeat
{
    ticket_number const             committed_ = 0; // highest that it knows
    ticket_number const             accepted_ = 0;  // highest that it knows
    std::vector<shard_report> const shards_;        // that it owns
    bool const                      leaving_ = false;

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

} // namespace fescuevane::entry

#endif
