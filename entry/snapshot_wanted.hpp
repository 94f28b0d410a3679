// Purpose: message between entry processes: asks for the known state.
#ifndef FESCUEVANE_ENTRY_SNAPSHOT_WANTED_HPP
#define FESCUEVANE_ENTRY_SNAPSHOT_WANTED_HPP

namespace fescuevane::entry
{

// Sent by a process that starts while the store is down.
struct snapshot_wanted
{
    friend bool operator==(snapshot_wanted const&,
                           snapshot_wanted const&) = default;
};

} // namespace fescuevane::entry

#endif
