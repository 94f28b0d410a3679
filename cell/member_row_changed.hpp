// Purpose: event: a row of the member table changed.
#ifndef FESCUEVANE_CELL_MEMBER_ROW_CHANGED_HPP
#define FESCUEVANE_CELL_MEMBER_ROW_CHANGED_HPP

#include "cell/stored_row.hpp"

namespace fescuevane::cell
{

// A removed row has revision 0.
struct member_row_changed
{
    stored_row const row_;

    friend bool operator==(member_row_changed const&,
                           member_row_changed const&) = default;
};

} // namespace fescuevane::cell

#endif
