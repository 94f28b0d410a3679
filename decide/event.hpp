// Purpose: the input of a scheduler.
#ifndef FESCUEVANE_DECIDE_EVENT_HPP
#define FESCUEVANE_DECIDE_EVENT_HPP

#include "decide/job_submitted.hpp"
#include "decide/jobs_canceled.hpp"
#include "decide/policy_set.hpp"
#include "decide/target_joined.hpp"
#include "decide/target_leaving.hpp"
#include "decide/target_lost.hpp"
#include "decide/target_unreached.hpp"
#include "decide/task_ended.hpp"
#include "decide/task_recovered.hpp"
#include "decide/task_rejected.hpp"
#include "decide/task_started.hpp"
#include "decide/usage_reported.hpp"

#include <variant>

namespace fescuevane::decide
{

using event =
    std::variant<policy_set, target_joined, target_unreached, target_leaving,
                 target_lost, job_submitted, jobs_canceled, task_started,
                 task_ended, task_rejected, task_recovered, usage_reported>;

} // namespace fescuevane::decide

#endif
