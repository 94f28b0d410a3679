// Purpose: jobs that other shards offer. Internal to the package.
#ifndef FESCUEVANE_PLAN_OFFERS_HPP
#define FESCUEVANE_PLAN_OFFERS_HPP

#include "core/ids.hpp"

namespace fescuevane::plan
{

struct job_offered;
struct planner;
struct stage_view;

// Stores the tasks as a stage that queries the policy service but never starts.
void add_offer(planner& context, job_offered const& input);

// Called when a job is handed over. If it was offered before, its stage gets
// the advice collected for the offer, and the offer is removed.
void take_over_offer(planner& context, job_id const& added);

// True for an offered job whose reply was sent, so that it needs no more
// advice.
bool is_answered_offer(planner const& context, job_id const& job);

// True for an offered job whose allowed targets lack room for it now, so that
// tickets for them would expire unused.
bool is_offer_without_room(planner const& context, stage_view const& stage);

} // namespace fescuevane::plan

#endif
