// Purpose: event: a heartbeat of another host arrived.
#ifndef FESCUEVANE_CELL_HEARTBEAT_RECEIVED_HPP
#define FESCUEVANE_CELL_HEARTBEAT_RECEIVED_HPP

#include "cell/heartbeat.hpp"

namespace fescuevane::cell
{

struct heartbeat_received
{
    heartbeat const beat_;

    friend bool operator==(heartbeat_received const&,
                           heartbeat_received const&) = default;
};

} // namespace fescuevane::cell

#endif
