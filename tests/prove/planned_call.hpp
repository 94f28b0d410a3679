// Purpose: a call that a caller makes later.
#ifndef FESCUEVANE_TESTS_PROVE_PLANNED_CALL_HPP
#define FESCUEVANE_TESTS_PROVE_PLANNED_CALL_HPP

#include "tests/prove/call_event.hpp"
#include "tests/prove/job_plan.hpp"

#include <cstdint>

namespace fescuevane::prove
{

struct planned_call
{
    std::int64_t const due_ = 0; // CLOCK_MONOTONIC, microseconds
    call_action const  action_ = call_action::look_up;
    job_plan const     job_;
    int const          repeats_ = 0; // look-ups made before
};

} // namespace fescuevane::prove

#endif
