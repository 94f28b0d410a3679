// Purpose: tickets that take a failure domain out or bring it back.
#ifndef FESCUEVANE_CTL_DOMAIN_TICKET_HPP
#define FESCUEVANE_CTL_DOMAIN_TICKET_HPP

#include "ctl/json.hpp"

#include <string>

namespace fescuevane::ctl
{

// The next ticket after `config_reply`, a reply of `GET /v1/config`, with the
// whole state of the failure domain. Only `in_service` changes. Throws
// ctl_error (rejected) when the configuration has no such domain.
json build_domain_ticket(json const& config_reply, std::string const& domain,
                         bool in_service, std::string const& author);

} // namespace fescuevane::ctl

#endif
