// Purpose: carries events from the threads of gRPC to the main loop.
#ifndef FESCUEVANE_ENTRY_EVENT_QUEUE_HPP
#define FESCUEVANE_ENTRY_EVENT_QUEUE_HPP

#include "entry/event.hpp"

#include <functional>
#include <mutex>
#include <vector>

namespace fescuevane::entry
{

// Safe for use by several threads.
class event_queue
{
public:
    // `wake` is called from the pushing thread when the queue was empty.
    explicit event_queue(std::function<void()> wake);

    void               push(event input);
    std::vector<event> take_all();
    bool               empty();

private:
    std::mutex                  mutex_;
    std::vector<event>          events_;
    std::function<void()> const wake_;
};

} // namespace fescuevane::entry

#endif
