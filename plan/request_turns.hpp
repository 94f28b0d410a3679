// Purpose: turns of stages that have waited long for a request. Internal to
// the package.
#ifndef FESCUEVANE_PLAN_REQUEST_TURNS_HPP
#define FESCUEVANE_PLAN_REQUEST_TURNS_HPP

#include "plan/request_targets.hpp"
#include "plan/stage_rank.hpp"

#include <span>

namespace fescuevane::plan
{

struct planner;

bool is_in_turn(planner const& context, stage_key const& key);

// Begins the turns that are due if better-ranked stages had used up the
// requests; otherwise rank serves all stages.
void request_in_turns(planner& context, std::span<stage_rank const> ranks,
                      free_room& free);

} // namespace fescuevane::plan

#endif
