// Purpose: one line of a target's history.
#ifndef FESCUEVANE_TESTS_PROVE_RUN_EVENT_HPP
#define FESCUEVANE_TESTS_PROVE_RUN_EVENT_HPP

#include "core/resources.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::prove
{

struct run_event
{
    std::int64_t const time_; // CLOCK_MONOTONIC, microseconds
    std::string const  event_;
    std::string const  target_;
    std::string const  domain_;
    std::string const  team_; // of a task; empty: the whole target
    std::string const  job_;
    std::int64_t const index_ = 0;
    std::int64_t const attempt_ = 0;
    bool const         idempotent_ = true;
    resources const    reserved_;
    std::string const  reason_;
    std::string const  line_; // as written by the target

    friend bool operator==(run_event const&, run_event const&) = default;
};

} // namespace fescuevane::prove

#endif
