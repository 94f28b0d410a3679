// Purpose: one timer with microsecond resolution in the GLib main context.
#ifndef FESCUEVANE_TESTS_STAND_INS_MICRO_TIMER_HPP
#define FESCUEVANE_TESTS_STAND_INS_MICRO_TIMER_HPP

#include "core/instant.hpp"
#include "tests/stand_ins/event_source.hpp"

#include <functional>

namespace fescuevane::stand_ins
{

// GLib's own timeouts have a resolution of 1 ms, too coarse for link delays
// of 0.5 ms. Throws std::runtime_error when no timer is left.
class micro_timer
{
public:
    explicit micro_timer(std::function<void()> run);
    micro_timer(micro_timer const&) = delete;
    micro_timer& operator=(micro_timer const&) = delete;
    ~micro_timer();

    void arm(instant due); // never(): disarms
private:
    int          file_ = -1;
    event_source source_;
};

} // namespace fescuevane::stand_ins

#endif
