// Purpose: table of the platform's host list, one row a worker.
#ifndef FESCUEVANE_ENTRY_HOST_TABLE_HPP
#define FESCUEVANE_ENTRY_HOST_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/row_index.hpp"
#include "entry/listed_host.hpp"

namespace fescuevane::entry
{

// A worker that left the list stays until its leases have lapsed: an earlier
// owner may have renewed them up to the moment it left.
struct host_table
{
    row_index<target_id> index_;
    column<listed_host>  host_;
    column<instant>      gone_deadline_; // never: on the list
};

} // namespace fescuevane::entry

#endif
