// Purpose: parts of gangs that run on several shards. Internal to the package.
#ifndef FESCUEVANE_PLAN_PARTS_HPP
#define FESCUEVANE_PLAN_PARTS_HPP

#include "core/ids.hpp"

namespace fescuevane
{
struct staged_job;
struct stage_key;
} // namespace fescuevane

namespace fescuevane::plan
{

struct part_ordered;
struct part_withdrawn;
struct planner;
struct stage_row;

// True for a job that holds a part of a gang.
bool is_part(staged_job const& job);

// Starts gathering room for a part. A part recovered from a former owner may
// have started there, so it counts as started and never starts again.
void begin_part(planner& context, job_id const& id);

// True when the stage may start now. A part of a gang may start only after its
// order, and before the deadline of the order.
bool may_start_gang(planner const& context, stage_row const& stage);

// Records that the run of a part has started. No effect on other stages.
void mark_part_started(stage_row& stage);

void order_part(planner& context, part_ordered const& input);
void withdraw_part(planner& context, part_withdrawn const& input);

} // namespace fescuevane::plan

#endif
