// Purpose: one line of the targets' history.
#ifndef FESCUEVANE_TESTS_SOAK_RUN_EVENT_HPP
#define FESCUEVANE_TESTS_SOAK_RUN_EVENT_HPP

#include "core/resources.hpp"
#include "tests/soak/task_name.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::soak
{

enum class run_event_kind
{
    start,
    end,   // `reason_` says how
    noted, // the owner let the target forget the end
    lapse, // the lease of the whole target ran out
};

struct run_event
{
    std::int64_t const   time_ = 0; // CLOCK_MONOTONIC, microseconds
    run_event_kind const kind_ = run_event_kind::start;
    std::string const    target_;
    std::string const    domain_;
    task_name const      task_; // empty: the whole target
    std::int64_t const   run_ = 0;
    std::int64_t const   fence_ = 0;
    std::string const    host_; // that ordered the start
    std::string const    reason_;
    std::string const    organisation_;
    std::string const    payload_job_; // id in the payload of the order
    resources const      demand_;

    friend bool operator==(run_event const&, run_event const&) = default;
};

std::string encode_run_event(run_event const& event); // one line
run_event   decode_run_event(std::string const& line);

} // namespace fescuevane::soak

#endif
