// Purpose: what a caller asks for with one job.
#ifndef FESCUEVANE_TESTS_PROVE_JOB_PLAN_HPP
#define FESCUEVANE_TESTS_PROVE_JOB_PLAN_HPP

#include <cstdint>
#include <string>

namespace fescuevane::prove
{

struct job_plan
{
    std::string const  id_; // empty: assigned by the process
    std::string const  team_;
    std::string const  key_;
    std::string const  service_;
    std::string const  kind_ = "request";
    std::int64_t const tasks_ = 1;
    std::int64_t const cpu_millis_ = 100;
    std::int64_t const memory_mib_ = 64;
    bool const         idempotent_ = true;
    std::string const  payload_;
    std::string const  expected_;     // answer of a single task
    bool const         open_ = false; // to callers without a key

    friend bool operator==(job_plan const&, job_plan const&) = default;
};

} // namespace fescuevane::prove

#endif
