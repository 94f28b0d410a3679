// Purpose: why a call is turned away before any shard is asked.
#ifndef FESCUEVANE_ENTRY_CALL_ERROR_HPP
#define FESCUEVANE_ENTRY_CALL_ERROR_HPP

#include <cstdint>

namespace fescuevane::entry
{

enum class call_error : std::uint8_t
{
    key_missing,  // the service is not open
    key_rejected, // unknown team, key not granted, or service not allowed
    not_found,    // no record of the job exists
    invalid       // out of bounds
};

} // namespace fescuevane::entry

#endif
