// Purpose: command: send a heartbeat to another host.
#ifndef FESCUEVANE_CELL_SEND_HEARTBEAT_HPP
#define FESCUEVANE_CELL_SEND_HEARTBEAT_HPP

#include "cell/heartbeat.hpp"
#include "core/instant.hpp"

#include <string>

namespace fescuevane::cell
{

struct send_heartbeat
{
    std::string const address_;
    heartbeat const   beat_;
    instant const     deadline_;

    friend bool operator==(send_heartbeat const&,
                           send_heartbeat const&) = default;
};

} // namespace fescuevane::cell

#endif
