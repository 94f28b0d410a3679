// Purpose: the whole configuration as of one ticket.
#ifndef FESCUEVANE_STATE_CONFIG_HPP
#define FESCUEVANE_STATE_CONFIG_HPP

#include "core/ids.hpp"
#include "state/domain_config.hpp"
#include "state/service_config.hpp"
#include "state/team_config.hpp"

#include <map>

namespace fescuevane::state
{

struct config
{
    ticket_number const                        number_ = 0; // 0: no ticket yet
    std::map<team_id, team_config> const       teams_;
    std::map<domain_id, domain_config> const   domains_;
    std::map<service_id, service_config> const services_;

    friend bool operator==(config const&, config const&) = default;
};

} // namespace fescuevane::state

#endif
