// Purpose: event: the process is to stop.
#ifndef FESCUEVANE_CELL_STOP_REQUESTED_HPP
#define FESCUEVANE_CELL_STOP_REQUESTED_HPP

#include "core/instant.hpp"

namespace fescuevane::cell
{

struct stop_requested
{
    instant const deadline_; // shards have to be handed over by then

    friend bool operator==(stop_requested const&,
                           stop_requested const&) = default;
};

} // namespace fescuevane::cell

#endif
