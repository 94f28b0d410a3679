// Purpose: service time and limits of requests to the policy service.
// Internal to the package.
#ifndef FESCUEVANE_PLAN_REQUEST_LIMITS_HPP
#define FESCUEVANE_PLAN_REQUEST_LIMITS_HPP

namespace fescuevane
{
struct advice_policy;
} // namespace fescuevane

namespace fescuevane::plan
{

struct planner;

// Added to the time of a reply for network hops, earlier requests in the queue,
// and run time estimates that are too long.
inline constexpr double advice_lead_ms = 500;

// Expected time of the policy service in milliseconds, for a request that names
// all targets of the shard or as many as allowed.
double find_reply_ms(planner const& context, advice_policy const& advice);

bool is_long_request(planner const& context, advice_policy const& advice);

// True while fewer requests of this sort are in flight than their limit.
bool may_request(planner const& context, bool is_long);
bool may_request_any(planner const& context);

} // namespace fescuevane::plan

#endif
