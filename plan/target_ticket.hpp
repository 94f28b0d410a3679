// Purpose: ticket of the policy service that allows a stage on a target.
#ifndef FESCUEVANE_PLAN_TARGET_TICKET_HPP
#define FESCUEVANE_PLAN_TARGET_TICKET_HPP

#include "core/ids.hpp"

#include <string>

namespace fescuevane::plan
{

struct target_ticket
{
    target_id const   target_;
    std::string const ticket_;

    friend bool operator==(target_ticket const&,
                           target_ticket const&) = default;
};

} // namespace fescuevane::plan

#endif
