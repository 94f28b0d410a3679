// Purpose: advice of the policy service about one target for a stage.
#ifndef FESCUEVANE_PLAN_TICKET_CELL_HPP
#define FESCUEVANE_PLAN_TICKET_CELL_HPP

#include "core/instant.hpp"

#include <string>

namespace fescuevane::plan
{

// Whether a target is allowed never changes, while its ticket expires.
struct ticket_cell
{
    bool        good_ = false; // the target may run the stage
    std::string ticket_;
    instant     valid_until_;
};

} // namespace fescuevane::plan

#endif
