// Purpose: summaries of load runs.
#ifndef FESCUEVANE_CTL_LOAD_SUMMARY_HPP
#define FESCUEVANE_CTL_LOAD_SUMMARY_HPP

#include "ctl/json.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fescuevane::ctl
{

// Counts by state, answers per second and percentiles of the waiting time.
// `waits` and `elapsed_micros` are in microseconds.
json summarize_load(std::uint64_t planned, std::uint64_t sent,
                    std::map<std::string, std::uint64_t> const& ends,
                    std::vector<std::int64_t>                   waits,
                    std::int64_t                                elapsed_micros);

// The name under which an ended call is counted: the state of its job, with
// the outcome when it isn't "succeeded", or "status N" for error replies.
std::string name_load_end(unsigned status, json const& body);

} // namespace fescuevane::ctl

#endif
