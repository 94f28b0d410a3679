// Purpose: rows of running tasks.
#include "tests/stand_ins/running_table.hpp"

#include <algorithm>

namespace fescuevane::stand_ins
{
namespace
{

// Work left at full speed; the product fits in 64 bits for run times below a
// year on 100 cores.
std::int64_t remaining_work(running_table const& table, std::size_t row,
                            instant now)
{
    std::int64_t const full = full_cpu(table, row);
    std::int64_t const left = now.remaining_until(table.end_deadline_[row]);
    return full == 0 ? left
                     : left / full * used_cpu(table, row) +
                           left % full * used_cpu(table, row) / full;
}

} // namespace

void append_running(running_table& table, decide::start_task const& start,
                    task_work const& work, instant now)
{
    table.index_.append(start.task_);
    table.start_.append(start);
    table.work_.append(work);
    table.end_deadline_.append(
        work.run_micros_ < 0 ? instant::never() : now.after(work.run_micros_));
    table.cpu_limit_.append(start.reservation_.cpu_millis());
}

void remove_running(running_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.start_.remove_by_moving_last(row);
    table.work_.remove_by_moving_last(row);
    table.end_deadline_.remove_by_moving_last(row);
    table.cpu_limit_.remove_by_moving_last(row);
}

resources sum_reservations(running_table const& table)
{
    resources sum;
    for (decide::start_task const& start : table.start_)
    {
        sum = sum + start.reservation_;
    }
    return sum;
}

std::int64_t full_cpu(running_table const& table, std::size_t row)
{
    std::int64_t const own = table.work_[row].use_cpu_millis_;
    std::int64_t const reserved = table.start_[row].reservation_.cpu_millis();
    return own < 0 ? reserved : std::min(own, reserved);
}

std::int64_t used_cpu(running_table const& table, std::size_t row)
{
    return std::min(full_cpu(table, row), table.cpu_limit_[row]);
}

void limit_cpu(running_table& table, std::size_t row, std::int64_t cpu_millis,
               instant now)
{
    bool const         runs_on = table.work_[row].run_micros_ < 0;
    std::int64_t const work = runs_on ? 0 : remaining_work(table, row, now);
    table.cpu_limit_[row] = cpu_millis;
    std::int64_t const used = used_cpu(table, row);
    std::int64_t const full = full_cpu(table, row);
    if (runs_on || used == full)
    {
        table.end_deadline_[row] = runs_on ? instant::never() : now.after(work);
        return;
    }
    table.end_deadline_[row] =
        used == 0 ? instant::never()
                  : now.after(work / used * full + work % used * full / used);
}

} // namespace fescuevane::stand_ins
