// Purpose: row of a call to the store in flight.
#ifndef FESCUEVANE_CELL_REQUEST_ROW_HPP
#define FESCUEVANE_CELL_REQUEST_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::cell
{

enum class request_kind : std::uint8_t
{
    announce,     // write the row of this host
    claim,        // take a shard
    fence,        // the same, in a further part
    load,         // read the jobs of a part
    journal,      // write jobs
    release,      // hand a shard over
    locate,       // find the shard of a job
    layout,       // write the layout of a failure domain
    allotment,    // read the divided limits
    lend,         // move parts of limits to other shards
    load_grants,  // read the targets with leases
    record_grant, // write them
    abandoned     // the shard was dropped, so the reply changes nothing
};

struct request_row
{
    request_kind        kind_ = request_kind::announce;
    shard_id            shard_;
    std::uint32_t       part_ = 0;
    std::vector<job_id> jobs_;     // of a transaction
    std::uint64_t       call_ = 0; // of a caller
    std::string         text_;     // of a layout
    instant             sent_;
};

} // namespace fescuevane::cell

#endif
