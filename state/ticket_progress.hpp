// Purpose: command: tell an operator how far a ticket is.
#ifndef FESCUEVANE_STATE_TICKET_PROGRESS_HPP
#define FESCUEVANE_STATE_TICKET_PROGRESS_HPP

#include "core/ids.hpp"
#include "state/ticket_stage.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::state
{

struct ticket_progress
{
    std::uint64_t const          call_ = 0;
    ticket_number const          number_ = 0;
    ticket_stage const           stage_ = ticket_stage::rejected;
    std::vector<domain_id> const missing_; // without acknowledgement
    std::string const            reason_;  // when rejected or conflicting

    friend bool operator==(ticket_progress const&,
                           ticket_progress const&) = default;
};

} // namespace fescuevane::state

#endif
