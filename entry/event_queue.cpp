// Purpose: carries events from the threads of gRPC to the main loop.
#include "entry/event_queue.hpp"

#include <utility>

namespace fescuevane::entry
{

event_queue::event_queue(std::function<void()> wake) : wake_(std::move(wake)) {}

void event_queue::push(event input)
{
    bool was_empty = false;
    {
        std::lock_guard const lock(mutex_);
        was_empty = events_.empty();
        events_.push_back(std::move(input));
    }
    if (was_empty)
    {
        wake_();
    }
}

bool event_queue::empty()
{
    std::lock_guard const lock(mutex_);
    return events_.empty();
}

std::vector<event> event_queue::take_all()
{
    std::lock_guard const lock(mutex_);
    return std::exchange(events_, {});
}

} // namespace fescuevane::entry
