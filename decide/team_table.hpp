// Purpose: table of the teams of a shard, one row a team.
#ifndef FESCUEVANE_DECIDE_TEAM_TABLE_HPP
#define FESCUEVANE_DECIDE_TEAM_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/row_index.hpp"
#include "core/task_key.hpp"
#include "core/work_kind.hpp"
#include "decide/queue_entry.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace fescuevane::decide
{

// Queued entries and running tasks of a team, by kind of work.
using team_queues = std::array<std::set<queue_entry>, work_kind_count>;
using team_running =
    std::array<std::map<std::uint64_t, task_key>, work_kind_count>;

// Rows are never removed, so a row number lasts.
struct team_table
{
    row_index<team_id>               index_;
    column<std::uint8_t>             configured_; // 1: policy names it
    column<std::int64_t>             share_;      // weight
    column<std::optional<resources>> allotment_;  // none: no limit
    column<resources>                used_;       // reserved by its tasks
    column<resources>                stopping_;   // of it, by tasks that stop
    column<resources>                waiting_;    // demand of queued tasks
    column<std::uint32_t>            queued_;     // queued tasks
    column<std::uint32_t>            running_count_;
    column<double>                   usage_;      // decayed dominant share
    column<double>                   run_micros_; // mean run time, 0: unknown
    column<std::uint8_t>             blocked_;    // 1: lacked room last time
    column<team_queues>              queues_;
    column<team_running>             running_; // by order of their starts
};

// The row of a team, appended when there is none.
std::size_t find_or_append_team(team_table& table, team_id const& team);

} // namespace fescuevane::decide

#endif
