// Purpose: event: an operator files a ticket.
#ifndef FESCUEVANE_ENTRY_TICKET_OPENED_HPP
#define FESCUEVANE_ENTRY_TICKET_OPENED_HPP

#include "core/instant.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::entry
{

struct ticket_opened
{
    std::uint64_t const call_ = 0;
    std::string const   text_;          // JSON
    instant const       wait_deadline_; // the stage is told by then

    friend bool operator==(ticket_opened const&,
                           ticket_opened const&) = default;
};

} // namespace fescuevane::entry

#endif
