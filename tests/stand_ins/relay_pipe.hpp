// Purpose: one direction of a relayed connection.
#ifndef FESCUEVANE_TESTS_STAND_INS_RELAY_PIPE_HPP
#define FESCUEVANE_TESTS_STAND_INS_RELAY_PIPE_HPP

#include "tests/stand_ins/delay_queue.hpp"
#include "tests/stand_ins/event_source.hpp"
#include "tests/stand_ins/group_table.hpp"
#include "tests/stand_ins/micro_timer.hpp"

#include <cstddef>
#include <functional>

namespace fescuevane::stand_ins
{

// Reads from one socket and writes to the other one after the group's delay.
// While the group is cut in the pipe's direction it does neither, so that the
// reading end sees silence.
// `ended` is called once, when the stream is over or has failed; the call may
// destroy the pipe.
class relay_pipe
{
public:
    relay_pipe(GSocket* from, GSocket* to, group_table const& groups,
               std::size_t group, std::uint8_t direction,
               std::function<void(bool failed)> ended);

    void update(); // after a change of the group

private:
    void read();
    void write();
    bool write_front(); // false: has to wait, or the pipe may be gone
    void watch_reading();

    GSocket* const                         from_;
    GSocket* const                         to_;
    group_table const&                     groups_;
    std::size_t const                      group_;
    std::uint8_t const                     direction_;
    std::function<void(bool failed)> const ended_;
    delay_queue                            queue_;
    bool                                   at_end_ = false;
    event_source                           readable_;
    event_source                           writable_;
    micro_timer                            due_;
};

} // namespace fescuevane::stand_ins

#endif
