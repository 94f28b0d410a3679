// Purpose: event: a caller closed its connection.
#ifndef FESCUEVANE_ENTRY_CALL_ABANDONED_HPP
#define FESCUEVANE_ENTRY_CALL_ABANDONED_HPP

#include <cstdint>

namespace fescuevane::entry
{

// The job goes on; only its answer has nobody to go to.
struct call_abandoned
{
    std::uint64_t const call_ = 0;

    friend bool operator==(call_abandoned const&,
                           call_abandoned const&) = default;
};

} // namespace fescuevane::entry

#endif
