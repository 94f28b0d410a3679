// Purpose: command: keep links to these entry processes.
#ifndef FESCUEVANE_ENTRY_CONNECT_PEERS_HPP
#define FESCUEVANE_ENTRY_CONNECT_PEERS_HPP

#include "state/peer_address.hpp"

#include <vector>

namespace fescuevane::entry
{

struct connect_peers
{
    std::vector<state::peer_address> const peers_;

    friend bool operator==(connect_peers const&,
                           connect_peers const&) = default;
};

} // namespace fescuevane::entry

#endif
