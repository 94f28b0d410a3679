// Purpose: value of an `ack/` row.
#ifndef FESCUEVANE_STATE_ACK_VALUE_HPP
#define FESCUEVANE_STATE_ACK_VALUE_HPP

#include "core/ids.hpp"

namespace fescuevane::state
{

struct ack_value
{
    ticket_number const number_ = 0; // restrictions up to it are in force
    epoch const         epoch_ = 0;  // of the owner that says so

    friend bool operator==(ack_value const&, ack_value const&) = default;
};

} // namespace fescuevane::state

#endif
