// Purpose: everything that a run of the soak recorded.
#ifndef FESCUEVANE_TESTS_SOAK_HISTORY_HPP
#define FESCUEVANE_TESTS_SOAK_HISTORY_HPP

#include "tests/soak/call_event.hpp"
#include "tests/soak/config_event.hpp"
#include "tests/soak/evacuation_event.hpp"
#include "tests/soak/fault_event.hpp"
#include "tests/soak/job_plan.hpp"
#include "tests/soak/run_event.hpp"

#include <map>
#include <string>
#include <vector>

namespace fescuevane::soak
{

struct history
{
    std::vector<run_event>           runs_; // in the order of time
    std::vector<call_event>          calls_;
    std::vector<fault_event>         faults_;
    std::vector<evacuation_event>    evacuations_;
    std::vector<config_event>        configs_;
    std::map<std::string, job_plan>  plans_;    // by id
    std::map<std::string, resources> capacity_; // by domain: of one target
    std::map<std::string, resources> limits_;   // by organisation
    int                              max_attempts_ = 3;
};

} // namespace fescuevane::soak

#endif
