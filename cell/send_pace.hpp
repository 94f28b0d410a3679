// Purpose: command: throttle a run on a target.
#ifndef FESCUEVANE_CELL_SEND_PACE_HPP
#define FESCUEVANE_CELL_SEND_PACE_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "plan/pace_run.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct send_pace
{
    std::uint64_t const  request_ = 0;
    std::string const    address_;
    plan::pace_run const pace_;
    epoch const          fence_ = 0;
    instant const        deadline_;

    friend bool operator==(send_pace const&, send_pace const&) = default;
};

} // namespace fescuevane::cell

#endif
