// Purpose: rows of the job table.
#include "decide/job_table.hpp"

#include <utility>

namespace fescuevane::decide
{

std::size_t append_job(job_table& table, std::shared_ptr<job_spec const> spec,
                       std::size_t team, std::size_t work_class)
{
    std::size_t const row = table.index_.append(spec->key_);
    table.result_.append(job_result{.key_ = spec->key_});
    table.open_tasks_.append(spec->task_count_);
    table.keep_deadline_.append(instant::never());
    table.team_.append(team);
    table.class_.append(work_class);
    table.attempts_.append(std::vector<std::uint32_t>(spec->task_count_, 0));
    table.complete_.append(0);
    table.held_.append(0);
    table.dispatched_.append(0);
    table.ran_.append(0);
    table.canceled_.append(0);
    table.restarting_.append(0);
    table.gang_failures_.append(0);
    table.refused_.append(0);
    table.moving_.append(0);
    table.lost_.append(0);
    table.failed_.append({});
    table.failed_on_.append({});
    table.queued_at_.append({});
    table.reserve_after_.append({});
    table.spec_.append(std::move(spec));
    return row;
}

void remove_job(job_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.spec_.remove_by_moving_last(row);
    table.result_.remove_by_moving_last(row);
    table.open_tasks_.remove_by_moving_last(row);
    table.keep_deadline_.remove_by_moving_last(row);
    table.team_.remove_by_moving_last(row);
    table.class_.remove_by_moving_last(row);
    table.attempts_.remove_by_moving_last(row);
    table.complete_.remove_by_moving_last(row);
    table.held_.remove_by_moving_last(row);
    table.dispatched_.remove_by_moving_last(row);
    table.ran_.remove_by_moving_last(row);
    table.canceled_.remove_by_moving_last(row);
    table.restarting_.remove_by_moving_last(row);
    table.gang_failures_.remove_by_moving_last(row);
    table.refused_.remove_by_moving_last(row);
    table.moving_.remove_by_moving_last(row);
    table.lost_.remove_by_moving_last(row);
    table.failed_.remove_by_moving_last(row);
    table.failed_on_.remove_by_moving_last(row);
    table.queued_at_.remove_by_moving_last(row);
    table.reserve_after_.remove_by_moving_last(row);
}

} // namespace fescuevane::decide
