// Purpose: decision about a new job.
#ifndef FESCUEVANE_PLAN_ADMISSION_HPP
#define FESCUEVANE_PLAN_ADMISSION_HPP

#include "core/instant.hpp"
#include "plan/job_outlook.hpp"

namespace fescuevane::plan
{

struct admission
{
    bool        accepted_ = true;
    job_outlook outlook_ = job_outlook::on_time;
    instant     return_at_;            // of a refused job
    bool        promise_kept_ = false; // it came back as it was told

    friend bool operator==(admission const&, admission const&) = default;
};

} // namespace fescuevane::plan

#endif
