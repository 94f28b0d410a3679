// Purpose: command: turn a call away.
#ifndef FESCUEVANE_ENTRY_CALL_REJECTED_HPP
#define FESCUEVANE_ENTRY_CALL_REJECTED_HPP

#include "entry/call_error.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::entry
{

// Nothing was submitted, so "not run" is true of it.
struct call_rejected
{
    std::uint64_t const call_ = 0;
    call_error const    error_ = call_error::invalid;
    std::string const   message_;

    friend bool operator==(call_rejected const&,
                           call_rejected const&) = default;
};

} // namespace fescuevane::entry

#endif
