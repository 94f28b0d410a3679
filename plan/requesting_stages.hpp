// Purpose: stages that lack tickets of the policy service. Internal to the
// package.
#ifndef FESCUEVANE_PLAN_REQUESTING_STAGES_HPP
#define FESCUEVANE_PLAN_REQUESTING_STAGES_HPP

#include "plan/stage_rank.hpp"

#include <vector>

namespace fescuevane::plan
{

struct planner;

// Stages that may send a request, or whose tasks take room from worse-ranked
// ones.
std::vector<stage_rank> rank_requesting_stages(planner& context);

} // namespace fescuevane::plan

#endif
