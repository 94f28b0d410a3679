// Purpose: how an organisation's upper limit is divided among the shards.
#ifndef FESCUEVANE_CELL_ALLOTMENT_RECORD_HPP
#define FESCUEVANE_CELL_ALLOTMENT_RECORD_HPP

#include "core/shard_id.hpp"

#include <cstdint>
#include <map>

namespace fescuevane::cell
{

// Parts in thousandths of the limit; the sum is at most 1000.
struct allotment_record
{
    std::map<shard_id, std::uint32_t> parts_;

    friend bool operator==(allotment_record const&,
                           allotment_record const&) = default;
};

} // namespace fescuevane::cell

#endif
