// Purpose: steps that faults of several kinds are made of.
#ifndef FESCUEVANE_TESTS_SOAK_FAULT_STEPS_HPP
#define FESCUEVANE_TESTS_SOAK_FAULT_STEPS_HPP

#include "tests/soak/soak_run.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace fescuevane::soak
{

std::size_t draw_host(soak_run& run);
instant     draw_end(soak_run& run, instant now, std::int64_t least_ms,
                     std::int64_t most_ms);

// False: the host doesn't run.
bool kill_process(soak_run& run, std::size_t host, instant restart_at);
// False: the host doesn't run or is told to end already.
bool terminate_process(soak_run& run, std::size_t host, instant now);

void switch_target(soak_run& run, std::int64_t target, char const* fault,
                   std::int64_t micros, bool keep_id);

} // namespace fescuevane::soak

#endif
