// Purpose: table of calls that are passed to owners, one row a call.
#ifndef FESCUEVANE_ENTRY_ROUTED_CALL_TABLE_HPP
#define FESCUEVANE_ENTRY_ROUTED_CALL_TABLE_HPP

#include "core/column.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/job_key.hpp"
#include "core/job_result.hpp"
#include "core/job_spec.hpp"
#include "core/row_index.hpp"
#include "core/shard_id.hpp"
#include "entry/routed_call_kind.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fescuevane::entry
{

struct routed_call_table
{
    row_index<std::uint64_t>                index_; // by call id
    column<routed_call_kind>                kind_;
    column<std::shared_ptr<job_spec const>> spec_; // null for look-ups
    column<job_key>                         job_;
    column<std::vector<shard_id>>           order_;    // shards to ask
    column<std::size_t>                     position_; // in `order_`
    column<host_id>                         sent_to_;  // empty: not sent
    column<epoch>                           sent_epoch_;
    column<std::uint8_t>                    may_be_known_; // by some owner
    column<std::uint8_t> uncertain_; // an owner took it and is gone
    column<instant>      opened_;
    column<instant>      resend_deadline_; // asks again, messages may get lost
    column<instant>      wait_deadline_;
    column<std::shared_ptr<job_result const>> last_; // last state heard
};

// Appends a call that was not sent; its id must have no row. Returns the row.
std::size_t append_routed_call(routed_call_table& table, std::uint64_t call,
                               routed_call_kind kind, job_key const& job,
                               std::shared_ptr<job_spec const> spec,
                               instant opened, instant wait_deadline);
void        remove_routed_call(routed_call_table& table, std::size_t row);

} // namespace fescuevane::entry

#endif
