// Purpose: contents of the stored row of a failure domain's layout.
#ifndef FESCUEVANE_CELL_LAYOUT_RECORD_HPP
#define FESCUEVANE_CELL_LAYOUT_RECORD_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <map>

namespace fescuevane::cell
{

// Racks that aren't listed are assigned to shards by a hash of their names.
struct layout_record
{
    std::uint32_t                    shards_ = 1;
    std::map<rack_id, std::uint32_t> racks_; // to shard indices

    friend bool operator==(layout_record const&,
                           layout_record const&) = default;
};

} // namespace fescuevane::cell

#endif
