// Purpose: the clock of the stand-ins.
#ifndef FESCUEVANE_TESTS_STAND_INS_CLOCK_HPP
#define FESCUEVANE_TESTS_STAND_INS_CLOCK_HPP

#include "core/instant.hpp"

namespace fescuevane::stand_ins
{

// CLOCK_MONOTONIC, comparable between the processes of one machine.
instant read_clock();

} // namespace fescuevane::stand_ins

#endif
