// Purpose: rows of the task table.
#include "decide/task_table.hpp"

namespace fescuevane::decide
{

std::size_t append_task(task_table& table, task_key const& key,
                        resources const& demand)
{
    std::size_t const row = table.index_.append(key);
    table.phase_.append(task_phase::queued);
    table.target_.append(target_id());
    table.reservation_.append(demand);
    table.sequence_.append(0);
    table.failures_.append(0);
    table.started_.append(instant());
    table.peak_.append(resources());
    table.stop_cause_.append(stop_cause::none);
    table.throttled_.append(0);
    return row;
}

void remove_task(task_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.phase_.remove_by_moving_last(row);
    table.target_.remove_by_moving_last(row);
    table.reservation_.remove_by_moving_last(row);
    table.sequence_.remove_by_moving_last(row);
    table.failures_.remove_by_moving_last(row);
    table.started_.remove_by_moving_last(row);
    table.peak_.remove_by_moving_last(row);
    table.stop_cause_.remove_by_moving_last(row);
    table.throttled_.remove_by_moving_last(row);
}

} // namespace fescuevane::decide
