// Purpose: table of the allotments of teams with an upper limit, one row a
// team.
#ifndef FESCUEVANE_STATE_ALLOTMENT_TABLE_HPP
#define FESCUEVANE_STATE_ALLOTMENT_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/row_index.hpp"
#include "core/shard_id.hpp"
#include "state/allotment_part.hpp"

#include <map>

namespace fescuevane::state
{

using part_map = std::map<shard_id, allotment_part>;

struct allotment_table
{
    row_index<team_id> index_;
    column<part_map>   parts_; // as in the row; empty: no row
    column<instant>    due_;   // no commit before
    column<resources>  limit_; // that the open commit was planned for
};

std::size_t ensure_allotment(allotment_table& table, team_id const& team);

resources sum_parts(part_map const& parts);
resources sum_ceilings(part_map const& parts);

// Parts whose ceilings fit in `limit`: caps of floor(limit * ceiling / sum) in
// each kind of resource whose sum exceeds it. The caps are written together
// before any part shrinks: computed one by one from parts that shrink, they
// could add up to more than the limit.
part_map cap_parts(part_map const& parts, resources const& limit);

} // namespace fescuevane::state

#endif
