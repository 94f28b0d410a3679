// Purpose: deadlines of a shard, earliest first.
#ifndef FESCUEVANE_DECIDE_TIMER_QUEUE_HPP
#define FESCUEVANE_DECIDE_TIMER_QUEUE_HPP

#include "core/instant.hpp"
#include "decide/timer.hpp"
#include "decide/timer_reference.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuevane::decide
{

// A binary heap of references into slots, since timers are large to move.
// Timers aren't withdrawn: whoever handles one checks that its reason still
// holds. Timers of one instant keep the order of insertion.
struct timer_queue
{
    std::vector<timer_reference> heap_;
    std::vector<timer>           slots_;
    std::vector<std::uint32_t>   free_slots_;
    std::uint64_t                next_sequence_ = 0;
};

void add_timer(timer_queue& queue, instant due, timer_kind kind,
               task_key const& task, target_id const& target = {});

// Removes and returns the earliest timer that is due at `now`.
std::optional<timer> take_due_timer(timer_queue& queue, instant now);
instant              find_earliest(timer_queue const& queue);

} // namespace fescuevane::decide

#endif
