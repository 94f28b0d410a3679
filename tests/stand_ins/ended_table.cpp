// Purpose: rows of ended tasks.
#include "tests/stand_ins/ended_table.hpp"

namespace fescuevane::stand_ins
{

void append_ended(ended_table& table, decide::start_task const& start,
                  decide::task_ended const& end)
{
    table.index_.append(start.task_);
    table.start_.append(start);
    table.end_.append(end);
}

void remove_ended(ended_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.start_.remove_by_moving_last(row);
    table.end_.remove_by_moving_last(row);
}

} // namespace fescuevane::stand_ins
