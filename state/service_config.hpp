// Purpose: configuration of one service, a class of work.
#ifndef FESCUEVANE_STATE_SERVICE_CONFIG_HPP
#define FESCUEVANE_STATE_SERVICE_CONFIG_HPP

#include "core/ids.hpp"

#include <set>

namespace fescuevane::state
{

// Jobs name a service. An open one takes work of any team without a key.
struct service_config
{
    service_id const        service_;
    bool const              open_ = false;
    std::set<team_id> const teams_; // that may use it; empty: all teams

    friend bool operator==(service_config const&,
                           service_config const&) = default;
};

} // namespace fescuevane::state

#endif
