// Purpose: the state of : tables and counters of one run.
#ifndef FESCUEVANE_CTL_LOAD_RUN_HPP
#define FESCUEVANE_CTL_LOAD_RUN_HPP

#include "core/column.hpp"
#include "core/row_index.hpp"
#include "ctl/context.hpp"
#include "ctl/http_reply.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::ctl
{

// Times are in microseconds of GLib's monotonic clock.
struct load_run
{
    context&            context_;
    std::int64_t const  start_;
    std::int64_t const  end_;     // no call starts later
    std::uint64_t const planned_; // calls

    // Open calls, a row per call
    row_index<std::uint64_t> index_; // number of the call, from 0
    column<std::int64_t>     due_;   // when it should have started

    // Input of the next tick: number of the call and its reply
    std::vector<std::pair<std::uint64_t, http_reply>> inbox_;

    // Counters
    std::uint64_t                        next_ = 0;  // call to start next
    std::map<std::string, std::uint64_t> ends_;      // calls by state
    std::vector<std::int64_t>            waits_;     // of answered calls
    unsigned                             timer_ = 0; // GLib source, 0: none
};

} // namespace fescuevane::ctl

#endif
