// Purpose: messages between entry processes.
#ifndef FESCUEVANE_ENTRY_PEER_MESSAGE_HPP
#define FESCUEVANE_ENTRY_PEER_MESSAGE_HPP

#include "entry/answer_passed.hpp"
#include "entry/cancel_passed.hpp"
#include "entry/heartbeat.hpp"
#include "entry/lookup_passed.hpp"
#include "entry/snapshot_passed.hpp"
#include "entry/snapshot_wanted.hpp"
#include "entry/submit_passed.hpp"

#include <variant>

namespace fescuevane::entry
{

using peer_message =
    std::variant<heartbeat, submit_passed, lookup_passed, cancel_passed,
                 answer_passed, snapshot_wanted, snapshot_passed>;

} // namespace fescuevane::entry

#endif
