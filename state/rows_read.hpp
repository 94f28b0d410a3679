// Purpose: event: rows of the platform were read.
#ifndef FESCUEVANE_STATE_ROWS_READ_HPP
#define FESCUEVANE_STATE_ROWS_READ_HPP

#include "core/ids.hpp"
#include "state/table_row.hpp"

#include <cstdint>
#include <vector>

namespace fescuevane::state
{

struct rows_read
{
    std::uint64_t const          request_ = 0;
    std::vector<table_row> const rows_;
    revision const revision_ = 0; // of the table at the time of the read

    friend bool operator==(rows_read const&, rows_read const&) = default;
};

} // namespace fescuevane::state

#endif
