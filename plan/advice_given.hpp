// Purpose: event: the policy service named targets for a stage.
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
    std::vector<target_id> const     asked_;
    std::vector<target_ticket> const good_;
    instant const                    valid_until_;

    friend bool operator==(advice_given const&, advice_given const&) = default;
};

} // namespace fescuevane::plan

#endif
