// Purpose: the platform's transactional table.
#ifndef FESCUEVANE_TESTS_STAND_INS_ROW_TABLE_HPP
#define FESCUEVANE_TESTS_STAND_INS_ROW_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "state/commit_ended.hpp"
#include "state/commit_rows.hpp"
#include "state/read_rows.hpp"
#include "state/rows_read.hpp"
#include "state/table_row.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace fescuevane::stand_ins
{

// Deleted rows stay as changes, so that readers of changes see them.
struct row_table
{
    std::map<std::string, std::size_t>         index_; // ordered by key
    column<state::table_row>                   row_;
    std::set<std::pair<revision, std::string>> changes_; // latest per row
    std::unordered_map<std::string, state::commit_ended> commits_; // by id
    revision                                             revision_ = 0;
};

// Applies all writes or, when a condition does not hold, none and names the
// keys in conflict. A commit id that is known returns its first result.
state::commit_ended apply_commit(row_table&                table,
                                 state::commit_rows const& commit);
bool is_known_commit(row_table const& table, std::string const& commit_id);
// Present rows by key; changes, deletions included, by revision.
state::rows_read list_rows(row_table const&        table,
                           state::read_rows const& read);

} // namespace fescuevane::stand_ins

#endif
