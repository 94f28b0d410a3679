// Purpose: outputs of a node, executed by the caller.
#ifndef FESCUEVANE_CELL_COMMAND_HPP
#define FESCUEVANE_CELL_COMMAND_HPP

#include "cell/answer_call.hpp"
#include "cell/answer_question.hpp"
#include "cell/call_peer.hpp"
#include "cell/hold_target.hpp"
#include "cell/log_line.hpp"
#include "cell/reply_peer.hpp"
#include "cell/send_heartbeat.hpp"
#include "cell/send_pace.hpp"
#include "cell/send_question.hpp"
#include "cell/send_start.hpp"
#include "cell/send_stop.hpp"
#include "cell/store_read.hpp"
#include "cell/store_transact.hpp"

#include <variant>

namespace fescuevane::cell
{

using command =
    std::variant<answer_call, answer_question, call_peer, hold_target, log_line,
                 reply_peer, send_heartbeat, send_pace, send_question,
                 send_start, send_stop, store_read, store_transact>;

} // namespace fescuevane::cell

#endif
