// Purpose: event: the process is to stop.
#ifndef FESCUEVANE_CELL_STOP_REQUESTED_HPP
#define FESCUEVANE_CELL_STOP_REQUESTED_HPP

#include "core/instant.hpp"

namespace fescuevane::cell
{

struct stop_requested
{
    // Calls have to be answered and shards handed over by then.
    instant const deadline_ = instant::never();

    friend bool operator==(stop_requested const&,
                           stop_requested const&) = default;
};

} // namespace fescuevane::cell

#endif
