// Purpose: one function a kind of event. Internal to the package.
#ifndef FESCUEVANE_DECIDE_APPLY_EVENT_HPP
#define FESCUEVANE_DECIDE_APPLY_EVENT_HPP

#include "decide/event.hpp"

namespace fescuevane::decide
{

struct scheduler;

// Jobs
void apply_event(scheduler& context, job_submitted const& input);
void apply_event(scheduler& context, jobs_canceled const& input);

// Tasks
void apply_event(scheduler& context, task_started const& input);
void apply_event(scheduler& context, task_ended const& input);
void apply_event(scheduler& context, task_rejected const& input);
void apply_event(scheduler& context, task_recovered const& input);
void apply_event(scheduler& context, usage_reported const& input);

// Targets and policy
void apply_event(scheduler& context, policy_set const& input);
void apply_event(scheduler& context, target_joined const& input);
void apply_event(scheduler& context, target_unreached const& input);
void apply_event(scheduler& context, target_leaving const& input);
void apply_event(scheduler& context, target_lost const& input);

// Ends every task of a target and forgets it.
void lose_target(scheduler& context, target_id const& target);

} // namespace fescuevane::decide

#endif
