// Purpose: jobs that other shards offer. Internal to the package.
#ifndef FESCUEVANE_PLAN_OFFERS_HPP
#define FESCUEVANE_PLAN_OFFERS_HPP

#include "core/ids.hpp"

namespace fescuevane::plan
{

struct job_offered;
struct planner;
struct stage_view;

// Keeps the tasks as a stage that asks the policy service and never starts.
void add_offer(planner& context, job_offered const& input);

// Tasks that were offered are handed over: the stage of the added job takes on
// the answers of the policy service.
void take_over_offer(planner& context, job_id const& added);

// True for an offered job that has nothing to ask any more.
bool is_answered_offer(planner const& context, job_id const& job);

// True for an offered job whose allowed targets lack room for it now, so that
// tickets for them would expire unused.
bool is_offer_without_room(planner const& context, stage_view const& stage);

} // namespace fescuevane::plan

#endif
