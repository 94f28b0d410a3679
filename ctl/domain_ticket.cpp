// Purpose: tickets that take a failure domain out or bring it back.
#include "ctl/domain_ticket.hpp"

#include "ctl/ctl_error.hpp"
#include "ctl/fields.hpp"

#include <algorithm>

namespace fescuevane::ctl
{

json build_domain_ticket(json const& config_reply, std::string const& domain,
                         bool in_service, std::string const& author)
{
    json const config = read_object(config_reply, "config");
    json const domains = read_list(config, "failure_domains");
    auto const found = std::find_if(domains.begin(), domains.end(),
                                    [&](json const& each)
                                    {
                                        return read_text(each, "id") == domain;
                                    });
    if (found == domains.end())
    {
        throw ctl_error(exit_code::rejected, "no failure domain " + domain +
                                                 " in the configuration");
    }
    json changed = *found;
    changed["in_service"] = in_service;
    json ticket = json::object();
    ticket["number"] = read_number(config_reply, "committed") + 1;
    ticket["author"] = author;
    ticket["failure_domains"] = json::array({changed});
    return ticket;
}

} // namespace fescuevane::ctl
