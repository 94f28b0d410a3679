// Purpose: rows of the call table.
#include "entry/call_table.hpp"

#include "entry/open_call.hpp"

namespace fescuevane::entry
{

void append_call(call_table& table, open_call row)
{
    table.by_deadline_.emplace(row.deadline_, row.id_);
    table.index_.append(row.id_);
    table.message_.append(std::move(row.message_));
    table.finished_handler_.append(row.finished_handler_);
    table.hang_up_watch_.append(std::move(row.hang_up_watch_));
    table.deadline_.append(row.deadline_);
    table.kind_.append(row.kind_);
    table.job_.append(std::move(row.job_));
    table.key_.append(std::move(row.key_));
    table.opened_.append(row.opened_);
    table.span_.append(std::move(row.span_));
}

void remove_call(call_table& table, std::size_t row)
{
    table.by_deadline_.erase({table.deadline_[row], table.index_.key(row)});
    table.index_.remove_by_moving_last(row);
    table.message_.remove_by_moving_last(row);
    table.finished_handler_.remove_by_moving_last(row);
    table.hang_up_watch_.remove_by_moving_last(row);
    table.deadline_.remove_by_moving_last(row);
    table.kind_.remove_by_moving_last(row);
    table.job_.remove_by_moving_last(row);
    table.key_.remove_by_moving_last(row);
    table.opened_.remove_by_moving_last(row);
    table.span_.remove_by_moving_last(row);
}

} // namespace fescuevane::entry
