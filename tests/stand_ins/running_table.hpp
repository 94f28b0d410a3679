// Purpose: table of the tasks that run on a target.
#ifndef FESCUEVANE_TESTS_STAND_INS_RUNNING_TABLE_HPP
#define FESCUEVANE_TESTS_STAND_INS_RUNNING_TABLE_HPP

#include "core/column.hpp"
#include "core/instant.hpp"
#include "core/row_index.hpp"
#include "core/task_key.hpp"
#include "decide/start_task.hpp"
#include "tests/stand_ins/task_work.hpp"

#include <cstddef>

namespace fescuevane::stand_ins
{

struct running_table
{
    row_index<task_key>        index_;
    column<decide::start_task> start_;
    column<task_work>          work_;
    column<instant>            end_deadline_;
    column<std::int64_t>       cpu_limit_; // 1/1000 core
};

void      append_running(running_table& table, decide::start_task const& start,
                         task_work const& work, instant now);
void      remove_running(running_table& table, std::size_t row);
resources sum_reservations(running_table const& table);

// Processor use at full speed and under the limit, in 1/1000 core.
std::int64_t full_cpu(running_table const& table, std::size_t row);
std::int64_t used_cpu(running_table const& table, std::size_t row);

// Sets the limit and moves the end: a task at half of its use takes twice as
// long for what is left.
void limit_cpu(running_table& table, std::size_t row, std::int64_t cpu_millis,
               instant now);

} // namespace fescuevane::stand_ins

#endif
