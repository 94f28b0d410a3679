// Purpose: event: a client stopped waiting for its reply.
#ifndef FESCUEVANE_CELL_CALL_CLOSED_HPP
#define FESCUEVANE_CELL_CALL_CLOSED_HPP

#include <cstdint>

namespace fescuevane::cell
{

struct call_closed
{
    std::uint64_t const call_ = 0;

    friend bool operator==(call_closed const&, call_closed const&) = default;
};

} // namespace fescuevane::cell

#endif
