// Purpose: table of the platform rows with the prefix `control/`, one row a
// key, as last read or written.
#ifndef FESCUEVANE_STATE_ROW_TABLE_HPP
#define FESCUEVANE_STATE_ROW_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/row_index.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::state
{

struct row_condition;
struct table_row;

struct row_table
{
    row_index<std::string> index_;
    column<std::string>    value_;
    column<revision>       revision_; // of the last change, also of a removal
    column<std::uint8_t>   present_;  // 0: was removed
};

// False when an equally new or newer version of the row is known. A removed
// row is remembered, so that a stale read doesn't bring it back.
bool merge_table_row(row_table& table, table_row const& row);
void remove_table_row(row_table& table, std::string const& key);

// The condition that the row is still as known here.
row_condition make_condition(row_table const& table, std::string const& key);

} // namespace fescuevane::state

#endif
