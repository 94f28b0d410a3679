// Purpose: one row of the platform's table service.
#ifndef FESCUEVANE_STATE_TABLE_ROW_HPP
#define FESCUEVANE_STATE_TABLE_ROW_HPP

#include "core/ids.hpp"

#include <string>

namespace fescuevane::state
{

struct table_row
{
    std::string const key_;
    std::string const value_;
    revision const    revision_ = 0;    // of the commit that wrote it
    bool const        deleted_ = false; // in changes since a revision

    friend bool operator==(table_row const&, table_row const&) = default;
};

} // namespace fescuevane::state

#endif
