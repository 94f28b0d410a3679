// Purpose: rows of the table of rows of leases.
#include "state/grant_table.hpp"

namespace fescuevane::state
{

std::size_t ensure_grants(grant_table& table, shard_id const& shard)
{
    if (auto const row = table.index_.find(shard))
    {
        return *row;
    }
    std::size_t const row = table.index_.append(shard);
    table.stored_.append({});
    table.writing_.append({});
    table.wanted_.append({});
    table.due_.append(instant::never());
    return row;
}

void remove_grants(grant_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.stored_.remove_by_moving_last(row);
    table.writing_.remove_by_moving_last(row);
    table.wanted_.remove_by_moving_last(row);
    table.due_.remove_by_moving_last(row);
}

} // namespace fescuevane::state
