// Purpose: inputs of a node.
#ifndef FESCUEVANE_CELL_EVENT_HPP
#define FESCUEVANE_CELL_EVENT_HPP

#include "cell/advice_reply.hpp"
#include "cell/call_closed.hpp"
#include "cell/call_opened.hpp"
#include "cell/config_changed.hpp"
#include "cell/domain_withdrawn.hpp"
#include "cell/heartbeat_received.hpp"
#include "cell/hold_reply.hpp"
#include "cell/list_complete.hpp"
#include "cell/member_row_changed.hpp"
#include "cell/members_confirmed.hpp"
#include "cell/order_reply.hpp"
#include "cell/peer_called.hpp"
#include "cell/peer_replied.hpp"
#include "cell/question_received.hpp"
#include "cell/stop_requested.hpp"
#include "cell/store_reply.hpp"
#include "cell/target_listed.hpp"
#include "cell/target_unlisted.hpp"

#include <variant>

namespace fescuevane::cell
{

using event =
    std::variant<advice_reply, call_closed, call_opened, config_changed,
                 domain_withdrawn, heartbeat_received, hold_reply,
                 list_complete, member_row_changed, members_confirmed,
                 order_reply, peer_called, peer_replied, question_received,
                 stop_requested, store_reply, target_listed, target_unlisted>;

} // namespace fescuevane::cell

#endif
