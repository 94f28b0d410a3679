// Purpose: event: a message of another entry process arrived.
#ifndef FESCUEVANE_ENTRY_PEER_RECEIVED_HPP
#define FESCUEVANE_ENTRY_PEER_RECEIVED_HPP

#include "core/ids.hpp"
#include "entry/peer_message.hpp"

#include <cstdint>

namespace fescuevane::entry
{

struct peer_received
{
    host_id const       host_;
    std::uint64_t const incarnation_ = 0; // of the sender's process
    peer_message const  message_;

    friend bool operator==(peer_received const&,
                           peer_received const&) = default;
};

} // namespace fescuevane::entry

#endif
