// Purpose: table of the targets of a shard, one row a target.
#ifndef FESCUEVANE_DECIDE_TARGET_TABLE_HPP
#define FESCUEVANE_DECIDE_TARGET_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/row_index.hpp"

#include <cstddef>
#include <cstdint>

namespace fescuevane::decide
{

struct target_joined;

struct target_table
{
    row_index<target_id>  index_;
    column<rack_id>       rack_;
    column<resources>     capacity_;
    column<resources>     free_;       // capacity less reservations
    column<std::uint32_t> free_slots_; //
    column<std::uint8_t>  accepts_;    // 1: may take new work
};

// Appends an idle target; its id must have no row. Returns the row.
std::size_t append_target(target_table& table, target_joined const& joined);
void        remove_target(target_table& table, std::size_t row);

// Takes and returns one slot and `amount` of a target's capacity.
void reserve_on_target(target_table& table, std::size_t row,
                       resources const& amount);
void release_on_target(target_table& table, std::size_t row,
                       resources const& amount);

} // namespace fescuevane::decide

#endif
