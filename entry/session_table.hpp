// Purpose: table of the targets of owned shards, one row a target.
#ifndef FESCUEVANE_ENTRY_SESSION_TABLE_HPP
#define FESCUEVANE_ENTRY_SESSION_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/row_index.hpp"
#include "core/shard_id.hpp"
#include "core/task_key.hpp"
#include "decide/command.hpp"
#include "entry/listed_host.hpp"
#include "entry/session_phase.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace fescuevane::entry
{

struct session_table
{
    row_index<target_id>       index_;
    column<listed_host>        host_;
    column<shard_id>           shard_;
    column<session_phase>      phase_;
    column<std::uint64_t>      attachment_;       // of the current link
    column<std::uint64_t>      incarnation_;      // 0: never attached
    column<instant>            connect_deadline_; // next attempt
    column<instant>            renew_deadline_;   // next lease batch
    column<std::int64_t>       clock_micros_;     // of the target, last heard
    column<instant>            heard_;            // last batch from it
    column<instant>            lapse_deadline_;   // of its leases
    column<std::uint8_t>       may_run_;          // 1: leases may run there
    column<std::set<task_key>> tasks_; // sent and not known to have ended
    column<std::vector<decide::command>> orders_;       // for the next batch
    column<std::vector<task_key>>        acknowledged_; // for the next batch
};

// Appends a target that is not reached; its id must have no row.
std::size_t append_session(session_table& table, listed_host const& host,
                           shard_id const& shard);
void        remove_session(session_table& table, std::size_t row);

} // namespace fescuevane::entry

#endif
