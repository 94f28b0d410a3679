// Purpose: times at which the callers of refused jobs may come back. Internal
// to the package.
#ifndef FESCUEVANE_PLAN_PROMISE_RETURNS_HPP
#define FESCUEVANE_PLAN_PROMISE_RETURNS_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "plan/promise_row.hpp"

#include <cstdint>
#include <optional>

namespace fescuevane::plan
{

struct planner;

// Time to come back for a refused job, not before `wanted.return_at_`, when
// room is expected. Callers are told times in the order of their refusal, those
// of organisations within their rate first, and no more at once than `share` of
// the room that comes free. A job that was promised a time before keeps it.
instant promise_return(planner& context, job_id const& job,
                       promise_row const& wanted, double share, instant now);

// The promise if the job comes back as it was told, else nothing.
std::optional<promise_row> find_kept_promise(planner&      context,
                                             job_id const& job, instant now);

// Ends the promise to a returning job that was accepted. Its row stays until
// the job is added.
void close_promise(planner& context, job_id const& job, instant now);

// When an added job was first refused. Nothing if it came back too late.
std::optional<instant> take_first_request(planner& context, job_id const& job);

void expire_promises(planner& context, instant now);

// Processor room of the jobs of a queue that are to come back by `until`.
std::int64_t count_promised(planner const& context, queue_id const& queue,
                            instant until);

} // namespace fescuevane::plan

#endif
