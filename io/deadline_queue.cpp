// Purpose: many deadlines behind one timer of the main loop.
#include "io/deadline_queue.hpp"

#include "io/main_loop.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::io
{
namespace
{

// A timer that fires later than this shows that the loop was late.
constexpr std::int64_t late_micros = 20'000;

// Reading a reply takes several turns of the loop.
constexpr std::int64_t min_grace_micros = 50'000;
constexpr std::int64_t max_grace_micros = 500'000;

} // namespace

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
        timer_.arm(std::min(deadline, postponed_until_));
    }
    return name;
}

// The timer may fire too early afterwards, which is cheaper than arming it
// anew for each request that ends in time.
void deadline_queue::remove(entry const& name)
{
    if (entries_.erase(name) == 0)
    {
        postponed_.erase(name);
    }
}

void deadline_queue::run_postponed(instant now)
{
    if (postponed_until_ > now)
    {
        return;
    }
    postponed_until_ = instant::never();
    while (!postponed_.empty())
    {
        auto const first = postponed_.extract(postponed_.begin());
        first.mapped()(); // may remove others
    }
}

void deadline_queue::run_due()
{
    instant const now = read_clock();
    run_postponed(now);
    std::int64_t const late =
        entries_.empty() ? 0
                         : entries_.begin()->first.first.remaining_until(now);
    if (late > late_micros)
    {
        postponed_until_ = std::min(
            postponed_until_,
            now.after(std::clamp(late, min_grace_micros, max_grace_micros)));
    }
    while (!entries_.empty() && entries_.begin()->first.first <= now)
    {
        auto first = entries_.extract(entries_.begin());
        if (late > late_micros)
        {
            postponed_.insert(std::move(first));
        }
        else
        {
            first.mapped()();
        }
    }
    timer_.arm(std::min(postponed_until_, entries_.empty()
                                              ? instant::never()
                                              : entries_.begin()->first.first));
}

} // namespace fescuevane::io
