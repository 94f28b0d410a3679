// Purpose: the way of a task through queue, target and retries.
#ifndef FESCUEVANE_DECIDE_TASK_FLOW_HPP
#define FESCUEVANE_DECIDE_TASK_FLOW_HPP

#include "decide/stop_cause.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace fescuevane
{
struct job_key;
struct task_key;
class resources;
} // namespace fescuevane

namespace fescuevane::decide
{

struct scheduler;
struct task_ended;

// Row of the latest attempt at a task, when it has not ended.
std::optional<std::size_t> find_task(scheduler const& context, std::size_t job,
                                     std::size_t index);

// Queue
void queue_task(scheduler& context, std::size_t task);
void unqueue_task(scheduler& context, std::size_t task);
void unqueue_gang(scheduler& context, std::size_t job);

// Targets
void dispatch_task(scheduler& context, std::size_t task, std::size_t target,
                   resources const& amount);
void attach_task(scheduler& context, std::size_t task, std::size_t target,
                 resources const& amount);
void stop_running_task(scheduler& context, std::size_t task, stop_cause cause,
                       bool checkpoint);
void stop_job_tasks(scheduler& context, std::size_t job, stop_cause cause,
                    bool checkpoint);

// Ends of attempts
void end_task(scheduler& context, std::size_t task, task_ended const& ended);
void lose_task(scheduler& context, std::size_t task);
void reject_task(scheduler& context, std::size_t task,
                 std::string const& reason);

// Adds and queues what a job lacks: tasks that were never added, and tasks
// that waited for the payload.
void add_missing_tasks(scheduler& context, std::size_t job);

// Queues a task whose backoff is over, if the retry budget allows.
void retry_task(scheduler& context, task_key const& key);

} // namespace fescuevane::decide

#endif
