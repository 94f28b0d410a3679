// Purpose: change of one row in a store transaction.
#ifndef FESCUEVANE_CELL_ROW_WRITE_HPP
#define FESCUEVANE_CELL_ROW_WRITE_HPP

#include "cell/row_key.hpp"

#include <string>

namespace fescuevane::cell
{

struct row_write
{
    row_key     key_;
    std::string value_;
    bool        remove_ = false;

    friend bool operator==(row_write const&, row_write const&) = default;
};

} // namespace fescuevane::cell

#endif
