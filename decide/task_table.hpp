// Purpose: table of the unfinished tasks of a shard, one row an attempt.
#ifndef FESCUEVANE_DECIDE_TASK_TABLE_HPP
#define FESCUEVANE_DECIDE_TASK_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/row_index.hpp"
#include "core/task_key.hpp"
#include "decide/task_phase.hpp"

#include <cstddef>

namespace fescuevane::decide
{

struct task_table
{
    row_index<task_key> index_;
    column<task_phase>  phase_;
    column<target_id>   target_;      // empty while queued
    column<resources>   reservation_; // on the target; demand while queued
};

// Appends a queued task; its key must have no row. Returns the row.
std::size_t append_task(task_table& table, task_key const& key,
                        resources const& demand);
void        remove_task(task_table& table, std::size_t row);

} // namespace fescuevane::decide

#endif
