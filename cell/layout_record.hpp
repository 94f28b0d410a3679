// Purpose: what the row of a failure domain's layout says.
#ifndef FESCUEVANE_CELL_LAYOUT_RECORD_HPP
#define FESCUEVANE_CELL_LAYOUT_RECORD_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <map>

namespace fescuevane::cell
{

// Racks that aren't listed belong to a shard by their hash.
struct layout_record
{
    std::uint32_t                    shards_ = 1;
    std::map<rack_id, std::uint32_t> racks_; // to the index of the shard

    friend bool operator==(layout_record const&,
                           layout_record const&) = default;
};

} // namespace fescuevane::cell

#endif
