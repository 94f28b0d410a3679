// Purpose: command: send a message to another entry process.
#ifndef FESCUEVANE_ENTRY_SEND_PEER_HPP
#define FESCUEVANE_ENTRY_SEND_PEER_HPP

#include "core/ids.hpp"
#include "entry/peer_message.hpp"

namespace fescuevane::entry
{

// Dropped when the peer can't be reached; the sender recovers by itself.
struct send_peer
{
    host_id const      host_;
    peer_message const message_;

    friend bool operator==(send_peer const&, send_peer const&) = default;
};

} // namespace fescuevane::entry

#endif
