// Purpose: command: start a run on a target.
#ifndef FESCUEVANE_CELL_SEND_START_HPP
#define FESCUEVANE_CELL_SEND_START_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "plan/start_run.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct send_start
{
    std::uint64_t const   request_ = 0;
    std::string const     address_;
    plan::start_run const start_;
    epoch const           fence_ = 0;
    std::int64_t const    lease_clock_ms_ =
        0; // the target rejects it after this time of its clock
    instant const deadline_;

    friend bool operator==(send_start const&, send_start const&) = default;
};

} // namespace fescuevane::cell

#endif
