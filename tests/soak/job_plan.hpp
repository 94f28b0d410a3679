// Purpose: a job that the soak submits.
#ifndef FESCUEVANE_TESTS_SOAK_JOB_PLAN_HPP
#define FESCUEVANE_TESTS_SOAK_JOB_PLAN_HPP

#include "tests/soak/step_plan.hpp"

#include <string>
#include <vector>

namespace fescuevane::soak
{

struct job_plan
{
    std::string const            id_;
    std::string const            organisation_;
    std::vector<step_plan> const steps_;

    friend bool operator==(job_plan const&, job_plan const&) = default;
};

} // namespace fescuevane::soak

#endif
