// Purpose: event: a list of the store was read completely.
#ifndef FESCUEVANE_CELL_LIST_COMPLETE_HPP
#define FESCUEVANE_CELL_LIST_COMPLETE_HPP

#include <cstdint>

namespace fescuevane::cell
{

enum class member_list : std::uint8_t
{
    members, // hosts and shards
    targets
};

struct list_complete
{
    member_list const list_ = member_list::members;

    friend bool operator==(list_complete const&,
                           list_complete const&) = default;
};

} // namespace fescuevane::cell

#endif
