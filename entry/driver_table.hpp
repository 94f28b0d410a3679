// Purpose: table of the shards that this process owns, one row a shard.
#ifndef FESCUEVANE_ENTRY_DRIVER_TABLE_HPP
#define FESCUEVANE_ENTRY_DRIVER_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/job_key.hpp"
#include "core/resources.hpp"
#include "core/row_index.hpp"
#include "core/shard_id.hpp"
#include "decide/decide.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace fescuevane::entry
{

struct driver_table
{
    row_index<shard_id>                  index_;
    column<epoch>                        epoch_;
    column<decide::scheduler_ptr>        scheduler_;
    column<std::map<team_id, resources>> allotments_; // of limited teams
    // Journaled jobs that the scheduler has not been told yet.
    column<std::vector<job_key>> restored_;
    column<std::uint8_t>         dirty_;   // events were posted
    column<std::uint8_t>         ready_;   // takes work
    column<std::uint8_t>         regrant_; // targets with leases changed
    // Targets that the stored row of leases names for sure: work starts on
    // these only.
    column<std::set<target_id>> recorded_;
    // Targets with leases of former owners; without a value, any may have some.
    column<std::optional<std::set<target_id>>> former_;
    column<std::uint8_t> complete_; // every target attached
    column<instant>      acquired_;
    column<instant>      ready_deadline_; // takes work then
    column<instant>      load_deadline_;  // next load report
};

} // namespace fescuevane::entry

#endif
