// Purpose: rows of the table of targets of owned shards.
#include "entry/session_table.hpp"

namespace fescuevane::entry
{

std::size_t append_session(session_table& table, listed_host const& host,
                           shard_id const& shard)
{
    std::size_t const row = table.index_.append(host.target_);
    table.host_.append(host);
    table.shard_.append(shard);
    table.phase_.append(session_phase::unreached);
    table.attachment_.append(0);
    table.incarnation_.append(0);
    table.connect_deadline_.append(instant());
    table.renew_deadline_.append(instant::never());
    table.clock_micros_.append(0);
    table.heard_.append(instant());
    table.lapse_deadline_.append(instant::never());
    table.may_run_.append(0);
    table.tasks_.append({});
    table.orders_.append({});
    table.acknowledged_.append({});
    return row;
}

void remove_session(session_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.host_.remove_by_moving_last(row);
    table.shard_.remove_by_moving_last(row);
    table.phase_.remove_by_moving_last(row);
    table.attachment_.remove_by_moving_last(row);
    table.incarnation_.remove_by_moving_last(row);
    table.connect_deadline_.remove_by_moving_last(row);
    table.renew_deadline_.remove_by_moving_last(row);
    table.clock_micros_.remove_by_moving_last(row);
    table.heard_.remove_by_moving_last(row);
    table.lapse_deadline_.remove_by_moving_last(row);
    table.may_run_.remove_by_moving_last(row);
    table.tasks_.remove_by_moving_last(row);
    table.orders_.remove_by_moving_last(row);
    table.acknowledged_.remove_by_moving_last(row);
}

} // namespace fescuevane::entry
