// Purpose: table of ends that the owner has not acknowledged.
#ifndef FESCUEVANE_TESTS_STAND_INS_ENDED_TABLE_HPP
#define FESCUEVANE_TESTS_STAND_INS_ENDED_TABLE_HPP

#include "core/column.hpp"
#include "core/row_index.hpp"
#include "core/task_key.hpp"
#include "decide/start_task.hpp"
#include "decide/task_ended.hpp"

#include <cstddef>

namespace fescuevane::stand_ins
{

struct ended_table
{
    row_index<task_key>        index_;
    column<decide::start_task> start_;
    column<decide::task_ended> end_;
};

void append_ended(ended_table& table, decide::start_task const& start,
                  decide::task_ended const& end);
void remove_ended(ended_table& table, std::size_t row);

} // namespace fescuevane::stand_ins

#endif
