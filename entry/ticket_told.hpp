// Purpose: command: answer an operator's call.
#ifndef FESCUEVANE_ENTRY_TICKET_TOLD_HPP
#define FESCUEVANE_ENTRY_TICKET_TOLD_HPP

#include "state/ticket_progress.hpp"

namespace fescuevane::entry
{

struct ticket_told
{
    state::ticket_progress const progress_; // `call_` is the operator's call

    friend bool operator==(ticket_told const&, ticket_told const&) = default;
};

} // namespace fescuevane::entry

#endif
