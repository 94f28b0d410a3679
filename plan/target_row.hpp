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
    instant                  stops_until_; // see target_set
    resources                used_;        // without the CPU time of fillers
    resources                lasting_; // the part used by long-running tasks
    resources                held_; // reserved for tasks that wait for tickets
    std::size_t              hold_ = 0;   // row of the reservation, if any
    bool              gang_held_ = false; // latest reservation is of a gang
    std::uint32_t     serving_ = 0;       // latency-bound runs
    std::uint32_t     fillers_ = 0;
    std::set<run_key> unknown_runs_;    // of no open stage, being stopped
    std::set<run_key> unreported_;      // runs with unreported ends
    instant           paused_until_;    // after a refusal
    instant           probation_until_; // after failures
    std::set<job_id>  failed_jobs_;     // since the latest success
    double            speed_ = 1;       // mean run time / run time here
};

} // namespace fescuevane::plan

#endif
