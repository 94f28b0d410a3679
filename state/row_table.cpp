// Purpose: rows of the row table.
#include "state/row_table.hpp"

#include "state/row_condition.hpp"
#include "state/table_row.hpp"

namespace fescuevane::state
{

bool merge_table_row(row_table& table, table_row const& row)
{
    auto const known = table.index_.find(row.key_);
    if (known && table.revision_[*known] >= row.revision_)
    {
        return false;
    }
    if (!known)
    {
        table.index_.append(row.key_);
        table.value_.append(row.value_);
        table.revision_.append(row.revision_);
        table.present_.append(row.deleted_ ? 0 : 1);
        return true;
    }
    table.value_[*known] = row.value_;
    table.revision_[*known] = row.revision_;
    table.present_[*known] = row.deleted_ ? 0 : 1;
    return true;
}

void remove_table_row(row_table& table, std::string const& key)
{
    if (auto const row = table.index_.find(key))
    {
        table.index_.remove_by_moving_last(*row);
        table.value_.remove_by_moving_last(*row);
        table.revision_.remove_by_moving_last(*row);
        table.present_.remove_by_moving_last(*row);
    }
}

row_condition make_condition(row_table const& table, std::string const& key)
{
    auto const row = table.index_.find(key);
    return {key, row && table.present_[*row] != 0 ? table.revision_[*row] : 0};
}

} // namespace fescuevane::state
