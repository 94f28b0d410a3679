// Purpose: table of the unfinished tasks of a shard, one row an attempt.
#ifndef FESCUEVANE_DECIDE_TASK_TABLE_HPP
#define FESCUEVANE_DECIDE_TASK_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/resources.hpp"
#include "core/row_index.hpp"
#include "core/task_key.hpp"
#include "decide/stop_cause.hpp"
#include "decide/task_phase.hpp"

#include <cstddef>
#include <cstdint>

namespace fescuevane::decide
{

struct task_table
{
    row_index<task_key>   index_;
    column<task_phase>    phase_;
    column<target_id>     target_;      // empty while queued
    column<resources>     reservation_; // on the target; demand while queued
    column<std::uint64_t> sequence_;    // of its queue entry or its start
    column<std::uint32_t> failures_;    // of earlier attempts, by themselves
    column<instant>       started_;     // dispatched at
    column<resources>     peak_;        // largest usage reported
    column<stop_cause>    stop_cause_;  // of the stop that was sent
    column<std::uint8_t>  throttled_;   // 1: bounded to reclaim capacity
};

// Appends a queued task; its key must have no row. Returns the row.
std::size_t append_task(task_table& table, task_key const& key,
                        resources const& demand);
void        remove_task(task_table& table, std::size_t row);

} // namespace fescuevane::decide

#endif
