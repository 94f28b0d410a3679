// Purpose: rows of groups of links.
#include "tests/stand_ins/group_table.hpp"

namespace fescuevane::stand_ins
{

std::size_t find_or_append_group(group_table& table, std::string const& name)
{
    if (auto const row = table.index_.find(name))
    {
        return *row;
    }
    table.cut_.append(0);
    table.delay_.append(0);
    return table.index_.append(name);
}

} // namespace fescuevane::stand_ins
