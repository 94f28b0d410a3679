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
    queue.heap_.push_back({due, queue.next_sequence_++, kind, task, target});
    std::push_heap(queue.heap_.begin(), queue.heap_.end(), std::greater<>());
}

std::optional<timer> take_due_timer(timer_queue& queue, instant now)
{
    if (queue.heap_.empty() || queue.heap_.front().due_ > now)
    {
        return std::nullopt;
    }
    std::pop_heap(queue.heap_.begin(), queue.heap_.end(), std::greater<>());
    timer due = std::move(queue.heap_.back());
    queue.heap_.pop_back();
    return due;
}

instant find_earliest(timer_queue const& queue)
{
    return queue.heap_.empty() ? instant::never() : queue.heap_.front().due_;
}

} // namespace fescuevane::decide
