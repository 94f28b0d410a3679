// Purpose: message between entry processes: the state that the sender knows.
#ifndef FESCUEVANE_ENTRY_SNAPSHOT_PASSED_HPP
#define FESCUEVANE_ENTRY_SNAPSHOT_PASSED_HPP

#include <string>

namespace fescuevane::entry
{

struct snapshot_passed
{
    std::string const snapshot_; // from state::write_snapshot

    friend bool operator==(snapshot_passed const&,
                           snapshot_passed const&) = default;
};

} // namespace fescuevane::entry

#endif
