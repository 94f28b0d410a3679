// Purpose: heap operations of the timer queue.
#include "decide/timer_queue.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace fescuevane::decide
{

void add_timer(timer_queue& queue, instant due, timer_kind kind,
               task_key const& task, target_id const& target)
{
    if (due == instant::never())
    {
        return;
    }
    std::uint32_t slot = static_cast<std::uint32_t>(queue.slots_.size());
    if (queue.free_slots_.empty())
    {
        queue.slots_.push_back({kind, task, target});
    }
    else
    {
        slot = queue.free_slots_.back();
        queue.free_slots_.pop_back();
        queue.slots_[slot] = {kind, task, target};
    }
    queue.heap_.push_back({due, queue.next_sequence_++, slot});
    std::push_heap(queue.heap_.begin(), queue.heap_.end(), std::greater<>());
}

std::optional<timer> take_due_timer(timer_queue& queue, instant now)
{
    if (queue.heap_.empty() || queue.heap_.front().due_ > now)
    {
        return std::nullopt;
    }
    std::pop_heap(queue.heap_.begin(), queue.heap_.end(), std::greater<>());
    std::uint32_t const slot = queue.heap_.back().slot_;
    queue.heap_.pop_back();
    queue.free_slots_.push_back(slot);
    return std::move(queue.slots_[slot]);
}

instant find_earliest(timer_queue const& queue)
{
    return queue.heap_.empty() ? instant::never() : queue.heap_.front().due_;
}

} // namespace fescuevane::decide
