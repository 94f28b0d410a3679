// Purpose: one timer of the main loop that is armed again and again.
#ifndef FESCUEVANE_IO_TIMER_HPP
#define FESCUEVANE_IO_TIMER_HPP

#include "core/instant.hpp"

#include <glib.h>
#include <functional>

namespace fescuevane::io
{

// Calls `due` once at each deadline that it is armed for.
class timer
{
public:
    explicit timer(std::function<void()> due);
    ~timer();
    timer(timer const&) = delete;
    timer& operator=(timer const&) = delete;

    void arm(instant deadline); // replaces the earlier one; never: disarms

private:
    std::function<void()> due_;
    GSource*              source_;
};

} // namespace fescuevane::io

#endif
