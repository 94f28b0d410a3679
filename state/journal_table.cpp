// Purpose: rows of the journal table.
#include "state/journal_table.hpp"

namespace fescuevane::state
{

std::size_t ensure_journal(journal_table& table, shard_id const& shard)
{
    if (auto const row = table.index_.find(shard))
    {
        return *row;
    }
    std::size_t const row = table.index_.append(shard);
    table.waiting_.append({});
    table.sent_.append({});
    return row;
}

void remove_journal(journal_table& table, std::size_t row)
{
    table.waiting_rows_ -= table.waiting_[row].size();
    table.index_.remove_by_moving_last(row);
    table.waiting_.remove_by_moving_last(row);
    table.sent_.remove_by_moving_last(row);
}

} // namespace fescuevane::state
