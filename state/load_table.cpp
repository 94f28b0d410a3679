// Purpose: rows of the load table.
#include "state/load_table.hpp"

namespace fescuevane::state
{

std::size_t ensure_load(load_table& table, shard_team const& key)
{
    if (auto const row = table.index_.find(key))
    {
        return *row;
    }
    std::size_t const row = table.index_.append(key);
    table.used_.append({});
    table.waiting_.append({});
    table.load_number_.append(0);
    table.goal_.append(std::nullopt);
    table.goal_load_.append(0);
    table.idle_deadline_.append(instant::never());
    return row;
}

void remove_load(load_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.used_.remove_by_moving_last(row);
    table.waiting_.remove_by_moving_last(row);
    table.load_number_.remove_by_moving_last(row);
    table.goal_.remove_by_moving_last(row);
    table.goal_load_.remove_by_moving_last(row);
    table.idle_deadline_.remove_by_moving_last(row);
}

} // namespace fescuevane::state
