// Purpose: event: a target has reported one of its runs.
#ifndef FESCUEVANE_PLAN_RUN_SEEN_HPP
#define FESCUEVANE_PLAN_RUN_SEEN_HPP

#include "core/ids.hpp"
#include "core/run_key.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::plan
{

struct run_seen
{
    run_key const      run_;
    target_id const    target_;
    std::string const  checkpoint_;  // empty: none
    std::int32_t const percent_ = 0; // of the work done, 0 to 100
    std::int64_t const load_ = 0;    // tail latency in ms, or 1/1000 core

    friend bool operator==(run_seen const&, run_seen const&) = default;
};

} // namespace fescuevane::plan

#endif
