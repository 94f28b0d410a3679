// Purpose: event: an operator filed a ticket with this process.
#ifndef FESCUEVANE_STATE_TICKET_FILED_HPP
#define FESCUEVANE_STATE_TICKET_FILED_HPP

#include <cstdint>
#include <string>

namespace fescuevane::state
{

struct ticket_filed
{
    std::uint64_t const call_ = 0; // matches `ticket_progress`
    std::string const   text_;     // JSON

    friend bool operator==(ticket_filed const&, ticket_filed const&) = default;
};

} // namespace fescuevane::state

#endif
