// Purpose: many deadlines behind one timer of the main loop.
#ifndef FESCUEVANE_IO_DEADLINE_QUEUE_HPP
#define FESCUEVANE_IO_DEADLINE_QUEUE_HPP

#include "core/instant.hpp"
#include "io/timer.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace fescuevane::io
{

// The main loop looks at each of its sources in each turn, so a source for each
// request in flight costs more than the requests.
class deadline_queue
{
public:
    using entry = std::pair<instant, std::uint64_t>; // names a deadline

    deadline_queue();

    entry add(instant deadline, std::function<void()> due);
    void  remove(entry const& name); // does nothing when it has fired

private:
    void run_due();

    std::map<entry, std::function<void()>> entries_;
    std::uint64_t                          last_ = 0;
    timer                                  timer_;
};

} // namespace fescuevane::io

#endif
