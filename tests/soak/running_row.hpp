// Purpose: one run on a target of the stand-in.
#ifndef FESCUEVANE_TESTS_SOAK_RUNNING_ROW_HPP
#define FESCUEVANE_TESTS_SOAK_RUNNING_ROW_HPP

#include "core/instant.hpp"
#include "tests/soak/step_plan.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::soak
{

struct running_row
{
    std::string  stage_; // ID.K.STEP, shared by the members of a gang
    std::int64_t run_ = 0;
    step_plan    step_;
    bool         stuck_ = false; // makes no progress until it is stopped
    instant      done_at_ = instant::never();
    instant      stopped_at_ = instant::never(); // a stop is under way
    instant      alone_at_ = instant::never();   // waits for its gang
};

} // namespace fescuevane::soak

#endif
