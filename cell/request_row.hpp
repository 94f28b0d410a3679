// Purpose: row of a store request in flight.
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
    announce,        // write the row of this host
    claim,           // claim a shard
    fence,           // claim it in another part of the store
    load,            // read the jobs of a part
    journal,         // write jobs
    release,         // release a shard
    locate,          // find the shard of a job
    layout,          // write the layout of a failure domain
    allotment,       // read how limits are divided
    lend,            // lend parts of limits to other shards
    load_grants,     // read the targets with leases
    record_grant,    // write the targets with leases
    load_run_times,  // read the run times that a shard learnt
    store_run_times, // write them
    abandoned        // the shard was dropped; ignore the reply
};

struct request_row
{
    request_kind        kind_ = request_kind::announce;
    shard_id            shard_;
    std::uint32_t       part_ = 0;
    std::vector<job_id> jobs_;     // of a transaction
    std::uint64_t       call_ = 0; // client call
    std::string         text_;     // of a layout
    instant             sent_;
};

} // namespace fescuevane::cell

#endif
