// Purpose: rows of the target table.
#include "decide/target_table.hpp"

#include "decide/target_joined.hpp"

#include <cassert>

namespace fescuevane::decide
{
namespace
{

// What a row adds to the totals of the table is taken out before a change and
// put back after it.
void add_to_totals(target_table& table, std::size_t row, std::int64_t sign)
{
    bool const reached = table.reached_[row] != 0;
    if (reached)
    {
        table.total_ = table.total_ + table.capacity_[row] * sign;
    }
    else
    {
        table.unreached_ += static_cast<std::size_t>(sign);
        table.unknown_ +=
            static_cast<std::size_t>(table.idle_[row] == 0 ? sign : 0);
    }
    table.total_charged_ = table.total_charged_ + table.charged_[row] * sign;
}

template <typename Visit>
void visit_columns(target_table& table, Visit visit)
{
    visit(table.rack_);
    visit(table.capacity_);
    visit(table.free_);
    visit(table.slots_);
    visit(table.free_slots_);
    visit(table.reached_);
    visit(table.seen_);
    visit(table.leaving_);
    visit(table.idle_);
    visit(table.held_);
    visit(table.charged_);
    visit(table.lapse_deadline_);
    visit(table.probation_deadline_);
    visit(table.failures_);
    visit(table.failed_job_);
    visit(table.tasks_);
}

} // namespace

std::size_t append_target(target_table& table, target_id const& target)
{
    std::size_t const row = table.index_.append(target);
    visit_columns(table,
                  [](auto& cells)
                  {
                      cells.append({});
                  });
    table.lapse_deadline_[row] = instant::never();
    add_to_totals(table, row, 1);
    update_room(table, row);
    return row;
}

void remove_target(target_table& table, std::size_t row)
{
    assert(table.tasks_[row].empty());
    add_to_totals(table, row, -1);
    if (table.probation_deadline_[row] != instant())
    {
        --table.on_probation_;
    }
    std::size_t const last = table.index_.size() - 1;
    table.rooms_.set_room(last, no_room);
    table.capacities_.set_room(last, no_room);
    table.index_.remove_by_moving_last(row);
    visit_columns(table,
                  [row](auto& cells)
                  {
                      cells.remove_by_moving_last(row);
                  });
    if (row != last)
    {
        update_room(table, row);
    }
}

void reach_target(target_table& table, std::size_t row,
                  target_joined const& joined)
{
    add_to_totals(table, row, -1);
    resources const used = table.capacity_[row] - table.free_[row];
    auto const      used_slots = table.slots_[row] - table.free_slots_[row];
    table.rack_[row] = joined.rack_;
    table.capacity_[row] = joined.capacity_;
    table.free_[row] = joined.capacity_ - used;
    table.slots_[row] = joined.slots_;
    table.free_slots_[row] = table.slots_[row] - used_slots;
    table.reached_[row] = 1;
    table.idle_[row] = 0;
    table.seen_[row] = 1;
    table.leaving_[row] = 0;
    table.charged_[row] = resources();
    table.lapse_deadline_[row] = instant::never();
    add_to_totals(table, row, 1);
    update_room(table, row);
}

void unreach_target(target_table& table, std::size_t row,
                    resources const& capacity, instant lapse_deadline,
                    bool idle)
{
    add_to_totals(table, row, -1);
    resources const used = table.capacity_[row] - table.free_[row];
    table.reached_[row] = 0;
    table.idle_[row] = idle ? 1 : 0;
    table.charged_[row] =
        idle ? resources()
             : max(max(capacity, table.capacity_[row]) - used, resources());
    table.lapse_deadline_[row] = lapse_deadline;
    add_to_totals(table, row, 1);
    update_room(table, row);
}

void reserve_on_target(target_table& table, std::size_t row,
                       resources const& amount)
{
    table.free_[row] = table.free_[row] - amount;
    table.total_used_ = table.total_used_ + amount;
    --table.free_slots_[row];
    update_room(table, row);
}

void release_on_target(target_table& table, std::size_t row,
                       resources const& amount)
{
    table.free_[row] = table.free_[row] + amount;
    table.total_used_ = table.total_used_ - amount;
    ++table.free_slots_[row];
    assert(table.free_[row].fits_in(table.capacity_[row]));
    update_room(table, row);
}

void change_reservation(target_table& table, std::size_t row,
                        resources const& before, resources const& after)
{
    table.free_[row] = table.free_[row] + before - after;
    table.total_used_ = table.total_used_ + after - before;
    update_room(table, row);
}

bool takes_work(target_table const& table, std::size_t row)
{
    return table.reached_[row] != 0 && table.leaving_[row] == 0 &&
           table.probation_deadline_[row] == instant();
}

void update_room(target_table& table, std::size_t row)
{
    bool const open = takes_work(table, row) && table.held_[row] == 0 &&
                      table.free_slots_[row] > 0;
    table.rooms_.set_room(row, open ? table.free_[row] : no_room);
    bool const stays = table.seen_[row] != 0 && table.leaving_[row] == 0;
    table.capacities_.set_room(row, stays ? table.capacity_[row] : no_room);
}

} // namespace fescuevane::decide
