// Purpose: input of the node.
#ifndef FESCUEVANE_ENTRY_EVENT_HPP
#define FESCUEVANE_ENTRY_EVENT_HPP

#include "entry/front_event.hpp"
#include "entry/hosts_listed.hpp"
#include "entry/peer_lost.hpp"
#include "entry/peer_received.hpp"
#include "entry/stop_wanted.hpp"
#include "entry/target_disconnected.hpp"
#include "entry/target_reported.hpp"
#include "state/commit_ended.hpp"
#include "state/rows_read.hpp"
#include "state/store_failed.hpp"

#include <variant>

namespace fescuevane::entry
{

using event =
    std::variant<submit_opened, lookup_opened, cancel_opened, ticket_opened,
                 call_abandoned, peer_received, peer_lost, target_reported,
                 target_disconnected, hosts_listed, state::rows_read,
                 state::commit_ended, state::store_failed, stop_wanted>;

} // namespace fescuevane::entry

#endif
