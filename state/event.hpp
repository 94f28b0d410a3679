// Purpose: the input of the control state.
#ifndef FESCUEVANE_STATE_EVENT_HPP
#define FESCUEVANE_STATE_EVENT_HPP

#include "state/commit_ended.hpp"
#include "state/grants_wanted.hpp"
#include "state/job_record.hpp"
#include "state/load_noted.hpp"
#include "state/peer_seen.hpp"
#include "state/rows_read.hpp"
#include "state/shard_fenced.hpp"
#include "state/shard_ready.hpp"
#include "state/state_received.hpp"
#include "state/stop_requested.hpp"
#include "state/store_failed.hpp"
#include "state/ticket_filed.hpp"

#include <variant>

namespace fescuevane::state
{

using event =
    std::variant<rows_read, commit_ended, store_failed, peer_seen,
                 state_received, ticket_filed, load_noted, job_record,
                 grants_wanted, shard_ready, shard_fenced, stop_requested>;

} // namespace fescuevane::state

#endif
