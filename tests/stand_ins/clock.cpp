// Purpose: the clock of the stand-ins.
#include "tests/stand_ins/clock.hpp"

#include <ctime>

namespace fescuevane::stand_ins
{

instant read_clock()
{
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return instant(time.tv_sec * micros_per_second + time.tv_nsec / 1000);
}

} // namespace fescuevane::stand_ins
