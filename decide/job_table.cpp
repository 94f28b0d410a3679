// Purpose: rows of the job table.
#include "decide/job_table.hpp"

namespace fescuevane::decide
{

std::size_t append_job(job_table& table, std::shared_ptr<job_spec const> spec)
{
    std::size_t const row = table.index_.append(spec->key_);
    table.result_.append(job_result{.key_ = spec->key_});
    table.open_tasks_.append(spec->task_count_);
    table.keep_deadline_.append(instant::never());
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
}

} // namespace fescuevane::decide
