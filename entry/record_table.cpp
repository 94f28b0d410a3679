// Purpose: rows of the table of journaled jobs.
#include "entry/record_table.hpp"

namespace fescuevane::entry
{

std::size_t append_record(record_table& table, shard_id const& shard,
                          std::shared_ptr<job_spec const> spec)
{
    std::size_t const row = table.index_.append(spec->key_);
    table.shard_.append(shard);
    table.spec_.append(std::move(spec));
    table.phase_.append(record_phase::writing);
    table.moved_to_.append(shard_id());
    table.canceled_.append(0);
    table.result_.append(nullptr);
    table.keep_deadline_.append(instant::never());
    table.ends_.append({});
    return row;
}

void remove_record(record_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.shard_.remove_by_moving_last(row);
    table.spec_.remove_by_moving_last(row);
    table.phase_.remove_by_moving_last(row);
    table.moved_to_.remove_by_moving_last(row);
    table.canceled_.remove_by_moving_last(row);
    table.result_.remove_by_moving_last(row);
    table.keep_deadline_.remove_by_moving_last(row);
    table.ends_.remove_by_moving_last(row);
}

} // namespace fescuevane::entry
