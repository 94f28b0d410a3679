// Purpose: table of the journals of owned shards, one row a shard.
#ifndef FESCUEVANE_STATE_JOURNAL_TABLE_HPP
#define FESCUEVANE_STATE_JOURNAL_TABLE_HPP

#include "core/column.hpp"
#include "core/job_key.hpp"
#include "core/row_index.hpp"
#include "core/shard_id.hpp"
#include "state/journal_entry.hpp"

#include <deque>
#include <vector>

namespace fescuevane::state
{

// Rows of one shard are committed in the order of their records, one commit at
// a time, so that a result never lands before its specification.
struct journal_table
{
    row_index<shard_id>               index_;
    column<std::deque<journal_entry>> waiting_;          // never sent
    column<std::vector<job_key>>      sent_;             // of the open commit
    std::size_t                       waiting_rows_ = 0; // of all shards
};

std::size_t ensure_journal(journal_table& table, shard_id const& shard);
void        remove_journal(journal_table& table, std::size_t row);

} // namespace fescuevane::state

#endif
