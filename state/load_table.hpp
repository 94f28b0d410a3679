// Purpose: table of what teams use of the owned shards, one row a shard and
// team.
#ifndef FESCUEVANE_STATE_LOAD_TABLE_HPP
#define FESCUEVANE_STATE_LOAD_TABLE_HPP

#include "core/column.hpp"
#include "core/instant.hpp"
#include "core/resources.hpp"
#include "core/row_index.hpp"
#include "state/shard_team.hpp"

#include <cstdint>
#include <optional>

namespace fescuevane::state
{

struct load_table
{
    row_index<shard_team> index_;
    column<resources>     used_;
    column<resources>     waiting_;
    column<std::uint64_t> load_number_; // of the shard's load with these values

    // A reduction of the shard's part, told to the scheduler before it is
    // written.
    column<std::optional<resources>> goal_;
    column<std::uint64_t> goal_load_; // the shard's load number when it was set
    column<instant>       idle_deadline_; // then the unused part goes back
};

std::size_t ensure_load(load_table& table, shard_team const& key);
void        remove_load(load_table& table, std::size_t row);

} // namespace fescuevane::state

#endif
