// Purpose: table of the open commits, one row a commit.
#ifndef FESCUEVANE_STATE_COMMIT_TABLE_HPP
#define FESCUEVANE_STATE_COMMIT_TABLE_HPP

#include "core/column.hpp"
#include "core/instant.hpp"
#include "core/row_index.hpp"
#include "state/commit_key.hpp"
#include "state/row_condition.hpp"
#include "state/row_write.hpp"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuevane::state
{

struct commit_table
{
    row_index<commit_key>              index_;
    column<std::string>                commit_id_; // the same for each attempt
    column<std::vector<row_condition>> conditions_;
    column<std::vector<row_write>>     writes_;
    column<std::uint64_t>              request_;  // in flight; 0: waits
    column<std::uint32_t>              failures_; // attempts without a reply
    column<instant>                    due_;      // of the next attempt

    std::unordered_map<std::uint64_t, commit_key> in_flight_; // by request
};

void append_commit(commit_table& table, commit_key const& key,
                   std::string commit_id, std::vector<row_condition> conditions,
                   std::vector<row_write> writes, instant due);

// An attempt in flight may still take effect; its reply is no longer matched.
void remove_commit(commit_table& table, std::size_t row);

} // namespace fescuevane::state

#endif
