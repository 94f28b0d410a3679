// Purpose: row of a failure domain's layout, as stored.
#ifndef FESCUEVANE_CELL_LAYOUT_ROW_HPP
#define FESCUEVANE_CELL_LAYOUT_ROW_HPP

#include "cell/layout_record.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct layout_row
{
    layout_record record_;
    revision      revision_ = 0; // 0: not known yet

    // Writing the row
    instant       listed_at_;   // latest new target of the domain
    std::uint64_t request_ = 0; // in flight, 0: none
    instant       retry_at_;
};

} // namespace fescuevane::cell

#endif
