// Purpose: row of an organisation's divided limit, as stored.
#ifndef FESCUEVANE_CELL_ALLOTMENT_ROW_HPP
#define FESCUEVANE_CELL_ALLOTMENT_ROW_HPP

#include "cell/allotment_record.hpp"
#include "core/ids.hpp"

namespace fescuevane::cell
{

struct allotment_row
{
    allotment_record record_;
    revision         revision_ = 0; // 0: no row, all parts are equal
};

} // namespace fescuevane::cell

#endif
