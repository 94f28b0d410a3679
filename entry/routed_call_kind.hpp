// Purpose: what an open call waits for.
#ifndef FESCUEVANE_ENTRY_ROUTED_CALL_KIND_HPP
#define FESCUEVANE_ENTRY_ROUTED_CALL_KIND_HPP

#include <cstdint>

namespace fescuevane::entry
{

enum class routed_call_kind : std::uint8_t
{
    submit,  // a caller's job
    lookup,  // the state of a job
    ticket,  // the stage of an operator's ticket
    transfer // this process moves a job out of a domain that is out
};

} // namespace fescuevane::entry

#endif
