// Purpose: event: reply of the policy service about targets for a stage.
#ifndef FESCUEVANE_PLAN_ADVICE_GIVEN_HPP
#define FESCUEVANE_PLAN_ADVICE_GIVEN_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/stage_key.hpp"
#include "plan/target_ticket.hpp"

#include <vector>

namespace fescuevane::plan
{

struct advice_given
{
    stage_key const                  stage_;
    std::vector<target_id> const     asked_; // targets of the request
    std::vector<target_ticket> const good_;  // those that may run the stage
    instant const                    valid_until_; // of all tickets

    friend bool operator==(advice_given const&, advice_given const&) = default;
};

} // namespace fescuevane::plan

#endif
