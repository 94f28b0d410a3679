// Purpose: changes of state of a job, from admission to its final result.
#ifndef FESCUEVANE_DECIDE_JOB_FLOW_HPP
#define FESCUEVANE_DECIDE_JOB_FLOW_HPP

#include "core/ids.hpp"
#include "core/job_spec.hpp"
#include "core/work_kind.hpp"
#include "decide/reasons.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fescuevane
{
struct job_key;
struct job_result;
} // namespace fescuevane

namespace fescuevane::decide
{

struct scheduler;

// How one task of a job came to its end.
struct task_close
{
    outcome const       outcome_ = outcome::succeeded;
    std::string const   reason_;
    shared_bytes const  body_;
    std::uint32_t const attempt_ = 0;
    target_id const     target_;
};

// Stores a result and tells it. A final result is never replaced.
void tell_job(scheduler& context, std::size_t job, job_result const& result);

// Counts a task as ended; the last one gives the job its final result.
void close_task(scheduler& context, job_key const& job,
                task_close const& close);

// Ends a job of which no task is in flight, or makes it end with the last one.
// It is told as not run when none of its attempts can have run, or when
// `moving` lets idempotent work go on at another shard.
void refuse_job(scheduler& context, job_key const& job, std::string_view reason,
                std::int64_t retry_after_micros, bool moving = false);

// Withdraws a job: queued tasks are dropped, others are stopped.
void cancel_job(scheduler& context, job_key const& job);

// Tells that the outcome of a job can't be learnt.
void tell_unknown(scheduler& context, std::size_t job, std::string_view reason);

} // namespace fescuevane::decide

#endif
