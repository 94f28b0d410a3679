// Purpose: requests of a stage to the policy service. Internal to the package.
#ifndef FESCUEVANE_PLAN_REQUEST_FOR_STAGE_HPP
#define FESCUEVANE_PLAN_REQUEST_FOR_STAGE_HPP

#include "plan/request_targets.hpp"

namespace fescuevane
{
struct stage_key;
} // namespace fescuevane

namespace fescuevane::plan
{

struct planner;

// Takes the room of the stage from `free`, and sends requests if `allowed`.
void request_for_stage(planner& context, stage_key const& key, free_room& free,
                       bool allowed);

} // namespace fescuevane::plan

#endif
