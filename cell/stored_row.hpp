// Purpose: a row of the store.
#ifndef FESCUEVANE_CELL_STORED_ROW_HPP
#define FESCUEVANE_CELL_STORED_ROW_HPP

#include "cell/row_key.hpp"
#include "core/ids.hpp"

namespace fescuevane::cell
{

struct stored_row
{
    row_key     key_;
    std::string value_;
    revision    revision_ = 0; // 0: there is no such row

    friend bool operator==(stored_row const&, stored_row const&) = default;
};

} // namespace fescuevane::cell

#endif
