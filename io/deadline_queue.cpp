// Purpose: many deadlines behind one timer of the main loop.
#include "io/deadline_queue.hpp"

#include "io/main_loop.hpp"

namespace fescuevane::io
{

deadline_queue::deadline_queue()
    : timer_(
          [this]
          {
              run_due();
          })
{
}

deadline_queue::entry deadline_queue::add(instant               deadline,
                                          std::function<void()> due)
{
    entry const name{deadline, ++last_};
    entries_.emplace(name, std::move(due));
    if (entries_.begin()->first == name)
    {
        timer_.arm(deadline);
    }
    return name;
}

// The timer may fire too early afterwards, which is cheaper than arming it
// anew for each request that ends in time.
void deadline_queue::remove(entry const& name)
{
    entries_.erase(name);
}

void deadline_queue::run_due()
{
    while (!entries_.empty() && entries_.begin()->first.first <= read_clock())
    {
        std::function<void()> const due = std::move(entries_.begin()->second);
        entries_.erase(entries_.begin());
        due();
    }
    timer_.arm(entries_.empty() ? instant::never()
                                : entries_.begin()->first.first);
}

} // namespace fescuevane::io
