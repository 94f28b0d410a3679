// Purpose: events that a planner processes.
#ifndef FESCUEVANE_PLAN_EVENT_HPP
#define FESCUEVANE_PLAN_EVENT_HPP

#include "plan/advice_failed.hpp"
#include "plan/advice_given.hpp"
#include "plan/advice_limit_changed.hpp"
#include "plan/delegate_end_stored.hpp"
#include "plan/delegate_ended.hpp"
#include "plan/domain_service_changed.hpp"
#include "plan/job_added.hpp"
#include "plan/job_canceled.hpp"
#include "plan/job_dropped.hpp"
#include "plan/job_offered.hpp"
#include "plan/limit_claims_updated.hpp"
#include "plan/on_time_changed.hpp"
#include "plan/organisations_set.hpp"
#include "plan/part_ordered.hpp"
#include "plan/part_withdrawn.hpp"
#include "plan/queues_set.hpp"
#include "plan/run_confirmed.hpp"
#include "plan/run_ended.hpp"
#include "plan/run_refused.hpp"
#include "plan/run_seen.hpp"
#include "plan/run_times_restored.hpp"
#include "plan/run_times_shared.hpp"
#include "plan/target_removed.hpp"
#include "plan/target_set.hpp"
#include "plan/tasks_delegated.hpp"
#include "plan/unreported_ends_settled.hpp"

#include <variant>

namespace fescuevane::plan
{

using event = std::variant<
    queues_set, organisations_set, limit_claims_updated, target_set,
    target_removed, domain_service_changed, job_added, job_canceled,
    job_dropped, job_offered, run_confirmed, run_refused, run_ended, run_seen,
    advice_given, advice_failed, tasks_delegated, delegate_ended,
    delegate_end_stored, on_time_changed, unreported_ends_settled, part_ordered,
    part_withdrawn, advice_limit_changed, run_times_restored, run_times_shared>;

} // namespace fescuevane::plan

#endif
