// Purpose: table of the shards of the cell and who takes their work.
#ifndef FESCUEVANE_ENTRY_ROUTE_TABLE_HPP
#define FESCUEVANE_ENTRY_ROUTE_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/row_index.hpp"
#include "core/shard_id.hpp"

#include <cstdint>

namespace fescuevane::entry
{

struct route_table
{
    row_index<shard_id>   index_;
    column<host_id>       host_;  // of the owner, empty: nobody takes work
    column<epoch>         epoch_; // of the owner
    column<std::uint64_t> queued_tasks_;
    column<std::uint64_t> free_slots_;
};

} // namespace fescuevane::entry

#endif
