// Purpose: row of a target.
#ifndef FESCUEVANE_PLAN_TARGET_ROW_HPP
#define FESCUEVANE_PLAN_TARGET_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/resources.hpp"
#include "core/run_key.hpp"
#include "plan/target_phase.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace fescuevane::plan
{

struct target_row
{
    service_id               service_;
    rack_id                  rack_;
    std::vector<std::string> labels_;
    resources                capacity_;
    target_phase             phase_ = target_phase::attaching;
    resources                used_;     // fillers' processors not counted
    resources                lasting_;  // the part by runs that don't end
    resources                held_;     // for tasks that wait for tickets
    std::size_t              hold_ = 0; // row of its hold, when held
    bool                     gang_held_ = false; // latest hold is of a gang
    std::uint32_t            serving_ = 0;       // runs with a latency bound
    std::uint32_t            fillers_ = 0;
    std::set<run_key> unknown_runs_;    // runs of unknown jobs, being stopped
    std::set<run_key> unreported_;      // runs whose ends may be listed yet
    instant           paused_until_;    // after a refusal
    instant           probation_until_; // after failures
    std::set<job_id>  failed_jobs_;     // jobs that failed since a success
    double            speed_ = 1;       // run time learnt over run time here
};

} // namespace fescuevane::plan

#endif
