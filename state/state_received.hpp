// Purpose: event: a peer sent the state that it knows.
#ifndef FESCUEVANE_STATE_STATE_RECEIVED_HPP
#define FESCUEVANE_STATE_STATE_RECEIVED_HPP

#include <string>

namespace fescuevane::state
{

// For a process that starts while the store is down; older state than known
// changes nothing.
struct state_received
{
    std::string const snapshot_; // from `write_snapshot`

    friend bool operator==(state_received const&,
                           state_received const&) = default;
};

} // namespace fescuevane::state

#endif
