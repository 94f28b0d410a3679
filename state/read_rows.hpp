// Purpose: command: read rows of the platform.
#ifndef FESCUEVANE_STATE_READ_ROWS_HPP
#define FESCUEVANE_STATE_READ_ROWS_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::state
{

struct read_rows
{
    std::uint64_t const request_ = 0; // matches the reply
    std::string const   prefix_;
    revision const after_ = 0; // 0: all present rows; else changes after it

    friend bool operator==(read_rows const&, read_rows const&) = default;
};

} // namespace fescuevane::state

#endif
