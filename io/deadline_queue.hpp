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
//
// A process that had no processor time finds deadlines that passed and replies
// that arrived in the same turn of its loop. It reads the replies first: what
// passed while the loop was late is due a little later, once.
class deadline_queue
{
public:
    using entry = std::pair<instant, std::uint64_t>; // names a deadline

    deadline_queue();

    entry add(instant deadline, std::function<void()> due);
    void  remove(entry const& name); // does nothing when it has fired

private:
    using entry_map = std::map<entry, std::function<void()>>;

    void run_due();
    void run_postponed(instant now);

    entry_map     entries_;
    entry_map     postponed_; // passed while the loop was late
    instant       postponed_until_ = instant::never();
    std::uint64_t last_ = 0;
    timer         timer_;
};

} // namespace fescuevane::io

#endif
