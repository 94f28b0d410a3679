// Purpose: output of the node to a front end.
#ifndef FESCUEVANE_ENTRY_FRONT_COMMAND_HPP
#define FESCUEVANE_ENTRY_FRONT_COMMAND_HPP

#include "entry/call_rejected.hpp"
#include "entry/cancel_told.hpp"
#include "entry/job_told.hpp"
#include "entry/ticket_told.hpp"

#include <variant>

namespace fescuevane::entry
{

using front_command =
    std::variant<job_told, call_rejected, cancel_told, ticket_told>;

} // namespace fescuevane::entry

#endif
