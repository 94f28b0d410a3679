// Purpose: table of the shards of the cell, one row a shard.
#ifndef FESCUEVANE_STATE_SHARD_TABLE_HPP
#define FESCUEVANE_STATE_SHARD_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/resources.hpp"
#include "core/row_index.hpp"
#include "core/shard_id.hpp"
#include "state/shard_owner.hpp"
#include "state/shard_phase.hpp"

#include <cstdint>
#include <map>

namespace fescuevane::state
{

struct shard_table
{
    row_index<shard_id> index_;

    // From the rows `shard/` and `ack/`
    column<shard_owner>   owner_;
    column<std::uint64_t> incarnation_; // of the owner's process
    column<ticket_number> ack_number_;
    column<epoch>         ack_epoch_; // that the owner acknowledged under

    // Of this process
    column<shard_phase>   phase_;
    column<epoch>         served_epoch_; // when not foreign
    column<epoch>         ready_epoch_;  // of the last valid `shard_ready`
    column<epoch>         lost_epoch_;   // never served again, nor a lower one
    column<instant>       lost_at_;      // time of the last release
    column<host_id>       successor_;    // when handing over
    column<std::uint64_t> load_number_;  // loads noted since acquisition
    column<std::map<team_id, resources>> told_; // last `allotments_changed`
    column<std::uint8_t>                 told_once_; // 1: since acquisition
};

// Returns the row of a shard; appends it, owned by nobody, when it is new.
std::size_t ensure_shard(shard_table& table, shard_id const& shard);

// True for an owner that has to write its acknowledgements and allotments.
bool is_serving(shard_table const& table, std::size_t row);

// True when no earlier owner can start work on the shard's targets.
bool is_ready(shard_table const& table, std::size_t row);

// Highest ticket that the present owner has acknowledged.
ticket_number find_ack(shard_table const& table, std::size_t row);

} // namespace fescuevane::state

#endif
