// Purpose: input of the node from a front end.
#ifndef FESCUEVANE_ENTRY_FRONT_EVENT_HPP
#define FESCUEVANE_ENTRY_FRONT_EVENT_HPP

#include "entry/call_abandoned.hpp"
#include "entry/cancel_opened.hpp"
#include "entry/lookup_opened.hpp"
#include "entry/submit_opened.hpp"
#include "entry/ticket_opened.hpp"

#include <variant>

namespace fescuevane::entry
{

using front_event = std::variant<submit_opened, lookup_opened, cancel_opened,
                                 ticket_opened, call_abandoned>;

} // namespace fescuevane::entry

#endif
