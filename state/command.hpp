// Purpose: the output of the control state.
#ifndef FESCUEVANE_STATE_COMMAND_HPP
#define FESCUEVANE_STATE_COMMAND_HPP

#include "state/allotments_changed.hpp"
#include "state/commit_rows.hpp"
#include "state/config_changed.hpp"
#include "state/grants_recorded.hpp"
#include "state/job_recorded.hpp"
#include "state/peers_changed.hpp"
#include "state/read_rows.hpp"
#include "state/shard_acquired.hpp"
#include "state/shard_released.hpp"
#include "state/ticket_progress.hpp"

#include <variant>

namespace fescuevane::state
{

using command =
    std::variant<read_rows, commit_rows, shard_acquired, shard_released,
                 config_changed, allotments_changed, job_recorded,
                 grants_recorded, ticket_progress, peers_changed>;

} // namespace fescuevane::state

#endif
