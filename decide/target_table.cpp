// Purpose: rows of the target table.
#include "decide/target_table.hpp"

#include "decide/target_joined.hpp"

#include <cassert>

namespace fescuevane::decide
{

std::size_t append_target(target_table& table, target_joined const& joined)
{
    std::size_t const row = table.index_.append(joined.target_);
    table.rack_.append(joined.rack_);
    table.capacity_.append(joined.capacity_);
    table.free_.append(joined.capacity_);
    table.free_slots_.append(joined.slots_);
    table.accepts_.append(1);
    return row;
}

void remove_target(target_table& table, std::size_t row)
{
    table.index_.remove_by_moving_last(row);
    table.rack_.remove_by_moving_last(row);
    table.capacity_.remove_by_moving_last(row);
    table.free_.remove_by_moving_last(row);
    table.free_slots_.remove_by_moving_last(row);
    table.accepts_.remove_by_moving_last(row);
}

void reserve_on_target(target_table& table, std::size_t row,
                       resources const& amount)
{
    assert(amount.fits_in(table.free_[row]) && table.free_slots_[row] > 0);
    table.free_[row] = table.free_[row] - amount;
    --table.free_slots_[row];
}

void release_on_target(target_table& table, std::size_t row,
                       resources const& amount)
{
    table.free_[row] = table.free_[row] + amount;
    ++table.free_slots_[row];
    assert(table.free_[row].fits_in(table.capacity_[row]));
}

} // namespace fescuevane::decide
