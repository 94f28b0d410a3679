// Purpose: the merged history of one run.
#ifndef FESCUEVANE_TESTS_PROVE_HISTORY_HPP
#define FESCUEVANE_TESTS_PROVE_HISTORY_HPP

#include "tests/prove/call_event.hpp"
#include "tests/prove/config_read.hpp"
#include "tests/prove/fault_event.hpp"
#include "tests/prove/run_event.hpp"
#include "tests/prove/stop_event.hpp"
#include "tests/prove/target_capacity.hpp"
#include "tests/prove/ticket_event.hpp"

#include <map>
#include <string>
#include <vector>

namespace fescuevane::prove
{

// Tables in the order of time; `runs_` by the time of the event, tickets by
// their filing, the others by their end.
struct history
{
    std::map<std::string, target_capacity> targets_;
    std::vector<run_event>                 runs_;
    std::vector<call_event>                calls_;
    std::vector<ticket_event>              tickets_; // committed ones
    std::vector<config_read>               reads_;
    std::vector<fault_event>               faults_;
    std::vector<stop_event>                stops_;
    std::map<std::string, std::string>     entry_domains_;
};

// Reads the files of the targets. Throws std::runtime_error.
std::vector<run_event> read_runs(std::vector<std::string> const& paths);

} // namespace fescuevane::prove

#endif
