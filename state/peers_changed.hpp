// Purpose: command: the list of entry processes has changed.
#ifndef FESCUEVANE_STATE_PEERS_CHANGED_HPP
#define FESCUEVANE_STATE_PEERS_CHANGED_HPP

#include "state/peer_address.hpp"

#include <vector>

namespace fescuevane::state
{

// All other processes that have a `host/` row.
struct peers_changed
{
    std::vector<peer_address> const peers_;

    friend bool operator==(peers_changed const&,
                           peers_changed const&) = default;
};

} // namespace fescuevane::state

#endif
