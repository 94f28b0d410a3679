// Purpose: key of a row of the store.
#ifndef FESCUEVANE_CELL_ROW_KEY_HPP
#define FESCUEVANE_CELL_ROW_KEY_HPP

#include <compare>
#include <string>

namespace fescuevane::cell
{

struct row_key
{
    std::string table_;
    std::string part_; // a transaction covers rows of one part
    std::string key_;

    friend auto operator<=>(row_key const&, row_key const&) = default;
};

} // namespace fescuevane::cell

#endif
