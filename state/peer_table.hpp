// Purpose: table of the other entry processes, one row a host.
#ifndef FESCUEVANE_STATE_PEER_TABLE_HPP
#define FESCUEVANE_STATE_PEER_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/row_index.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::state
{

struct peer_table
{
    row_index<host_id>    index_;
    column<domain_id>     domain_;
    column<std::string>   address_;
    column<std::uint64_t> incarnation_; // from its row; 0: unknown
    column<std::uint8_t>  listed_;      // 1: it has a `host/` row
    column<std::uint8_t>  leaving_;     // 1: it hands over and stops
    column<std::uint8_t>  live_;        // 1: heard and not suspected
    column<instant>       live_since_;
    column<instant>       suspect_deadline_; // without a heartbeat until then
    column<instant>       forget_deadline_;  // then its row is removed
};

// Returns the row of a host; appends it, never heard, when it is new.
std::size_t ensure_peer(peer_table& table, host_id const& host,
                        instant suspect_deadline, instant forget_deadline);

} // namespace fescuevane::state

#endif
