// Purpose: condition of a store transaction.
#ifndef FESCUEVANE_CELL_ROW_CONDITION_HPP
#define FESCUEVANE_CELL_ROW_CONDITION_HPP

#include "cell/row_key.hpp"
#include "core/ids.hpp"

namespace fescuevane::cell
{

struct row_condition
{
    row_key  key_;
    revision revision_ = 0; // required revision, 0: no such row

    friend bool operator==(row_condition const&,
                           row_condition const&) = default;
};

} // namespace fescuevane::cell

#endif
