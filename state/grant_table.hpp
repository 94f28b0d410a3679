// Purpose: table of the rows of leases of owned shards, one row a shard.
#ifndef FESCUEVANE_STATE_GRANT_TABLE_HPP
#define FESCUEVANE_STATE_GRANT_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/row_index.hpp"
#include "core/shard_id.hpp"
#include "state/granted_target.hpp"

#include <cstddef>
#include <map>

namespace fescuevane::state
{

struct grant_table
{
    using targets = std::map<target_id, granted_target>;

    row_index<shard_id> index_;
    column<targets>     stored_;  // in the row, before the open commit
    column<targets>     writing_; // by the open commit
    column<targets>     wanted_;  // to be in the row
    column<instant>     due_;     // of the next commit
};

std::size_t ensure_grants(grant_table& table, shard_id const& shard);
void        remove_grants(grant_table& table, std::size_t row);

} // namespace fescuevane::state

#endif
