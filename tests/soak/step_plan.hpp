// Purpose: one step of a job that the soak submits.
#ifndef FESCUEVANE_TESTS_SOAK_STEP_PLAN_HPP
#define FESCUEVANE_TESTS_SOAK_STEP_PLAN_HPP

#include "core/resources.hpp"

#include <cstdint>
#include <vector>

namespace fescuevane::soak
{

struct step_plan
{
    int const              count_ = 1;
    resources const        demand_;
    std::int64_t const     work_ms_ = 0;
    std::vector<int> const after_; // earlier steps that must be done
    bool const             gang_ = false;
    bool const             perpetual_ = false;
    bool const             fails_ = false; // each run ends as failed

    friend bool operator==(step_plan const&, step_plan const&) = default;
};

} // namespace fescuevane::soak

#endif
