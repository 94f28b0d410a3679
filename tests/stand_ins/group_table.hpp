// Purpose: table of the groups of links and their faults.
#ifndef FESCUEVANE_TESTS_STAND_INS_GROUP_TABLE_HPP
#define FESCUEVANE_TESTS_STAND_INS_GROUP_TABLE_HPP

#include "core/column.hpp"
#include "core/row_index.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace fescuevane::stand_ins
{

// Directions in which no byte passes, seen from the caller.
constexpr std::uint8_t cut_outward = 1;
constexpr std::uint8_t cut_inward = 2;

struct group_table
{
    row_index<std::string> index_;
    column<std::uint8_t>   cut_;   // sum of the directions above
    column<std::int64_t>   delay_; // one way, microseconds
};

std::size_t find_or_append_group(group_table& table, std::string const& name);

} // namespace fescuevane::stand_ins

#endif
