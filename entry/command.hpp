// Purpose: output of the node.
#ifndef FESCUEVANE_ENTRY_COMMAND_HPP
#define FESCUEVANE_ENTRY_COMMAND_HPP

#include "entry/attach_target.hpp"
#include "entry/connect_peers.hpp"
#include "entry/detach_target.hpp"
#include "entry/front_command.hpp"
#include "entry/send_peer.hpp"
#include "entry/send_target.hpp"
#include "entry/span_finished.hpp"
#include "entry/state_noted.hpp"
#include "state/commit_rows.hpp"
#include "state/read_rows.hpp"

#include <variant>

namespace fescuevane::entry
{

using command = std::variant<job_told, call_rejected, cancel_told, ticket_told,
                             send_peer, connect_peers, attach_target,
                             detach_target, send_target, state::read_rows,
                             state::commit_rows, state_noted, span_finished>;

} // namespace fescuevane::entry

#endif
