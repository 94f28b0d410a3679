// Purpose: what the policy service said of one target for a stage.
#ifndef FESCUEVANE_PLAN_TICKET_CELL_HPP
#define FESCUEVANE_PLAN_TICKET_CELL_HPP

#include "core/instant.hpp"

#include <string>

namespace fescuevane::plan
{

// The answer about a target never changes; a ticket expires.
struct ticket_cell
{
    bool        good_ = false; // the target may run the stage
    std::string ticket_;
    instant     valid_until_;
};

} // namespace fescuevane::plan

#endif
