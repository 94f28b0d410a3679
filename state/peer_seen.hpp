// Purpose: event: another entry process is alive.
#ifndef FESCUEVANE_STATE_PEER_SEEN_HPP
#define FESCUEVANE_STATE_PEER_SEEN_HPP

#include "core/ids.hpp"

#include <string>

namespace fescuevane::state
{

// Posted at each heartbeat.
struct peer_seen
{
    host_id const       host_;
    domain_id const     domain_;
    std::string const   address_;
    bool const          leaving_ = false; // it stops and hands over
    ticket_number const committed_ = 0;   // highest it knows
    ticket_number const accepted_ = 0;    // highest it knows

    friend bool operator==(peer_seen const&, peer_seen const&) = default;
};

} // namespace fescuevane::state

#endif
