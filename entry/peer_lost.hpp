// Purpose: event: the link to another entry process broke.
#ifndef FESCUEVANE_ENTRY_PEER_LOST_HPP
#define FESCUEVANE_ENTRY_PEER_LOST_HPP

#include "core/ids.hpp"

namespace fescuevane::entry
{

// What was sent to it lately may not have arrived.
struct peer_lost
{
    host_id const host_;

    friend bool operator==(peer_lost const&, peer_lost const&) = default;
};

} // namespace fescuevane::entry

#endif
