// Purpose: one deadline of a job, task or target.
#ifndef FESCUEVANE_DECIDE_TIMER_HPP
#define FESCUEVANE_DECIDE_TIMER_HPP

#include "core/ids.hpp"
#include "core/task_key.hpp"

#include <cstddef>
#include <cstdint>

namespace fescuevane::decide
{

enum class timer_kind : std::uint8_t
{
    start_deadline, // a queued job is too late
    keep_result,    // a final result may be forgotten
    feasibility,    // a queued job is checked against the fleet
    retry,          // the backoff of a task is over
    stop_grace,     // a checkpoint has taken too long
    lapse,          // the leases of an unreached target have ended
    probation,      // a target may be tried again
    wake            // a tick is wanted, nothing else
};

constexpr std::size_t timer_kind_count = 8;

struct timer
{
    timer_kind kind_ = timer_kind::wake;
    task_key   task_;   // or its job alone
    target_id  target_; // when about a target

    friend auto operator<=>(timer const&, timer const&) = default;
};

} // namespace fescuevane::decide

#endif
