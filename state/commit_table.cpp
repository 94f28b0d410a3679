// Purpose: rows of the commit table.
#include "state/commit_table.hpp"

#include <utility>

namespace fescuevane::state
{

void append_commit(commit_table& table, commit_key const& key,
                   std::string commit_id, std::vector<row_condition> conditions,
                   std::vector<row_write> writes, instant due)
{
    table.index_.append(key);
    table.commit_id_.append(std::move(commit_id));
    table.conditions_.append(std::move(conditions));
    table.writes_.append(std::move(writes));
    table.request_.append(0);
    table.failures_.append(0);
    table.due_.append(due);
}

void remove_commit(commit_table& table, std::size_t row)
{
    table.in_flight_.erase(table.request_[row]);
    table.index_.remove_by_moving_last(row);
    table.commit_id_.remove_by_moving_last(row);
    table.conditions_.remove_by_moving_last(row);
    table.writes_.remove_by_moving_last(row);
    table.request_.remove_by_moving_last(row);
    table.failures_.remove_by_moving_last(row);
    table.due_.remove_by_moving_last(row);
}

} // namespace fescuevane::state
