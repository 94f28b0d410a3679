// Purpose: the kinds of work and the states and results of a job.
#ifndef FESCUEVANE_CORE_WORK_KIND_HPP
#define FESCUEVANE_CORE_WORK_KIND_HPP

#include <cstdint>

namespace fescuevane
{

enum class work_kind : std::uint8_t
{
    request, // one short task, the caller waits for its answer
    service, // long-running tasks, replaced when they end
    batch,   // tasks that may start one by one
    gang     // tasks that start together or not at all
};

constexpr std::size_t work_kind_count = 4;

enum class job_state : std::uint8_t
{
    queued,     // accepted, nothing was sent to a target
    dispatched, // a start was sent, not yet confirmed
    running,    // a target confirmed the start
    answered,   // ended, the answer is complete
    not_run,    // refused or canceled, nothing ran and nothing can run
    unknown     // was dispatched, its outcome can't be learnt
};

enum class outcome : std::uint8_t
{
    succeeded,
    failed,
    canceled // stopped on request of the caller or of the scheduler
};

// True when the state never changes again.
constexpr bool is_final(job_state state)
{
    return state == job_state::answered || state == job_state::not_run ||
           state == job_state::unknown;
}

} // namespace fescuevane

#endif
