// Purpose: command: stop a run on a target.
#ifndef FESCUEVANE_CELL_SEND_STOP_HPP
#define FESCUEVANE_CELL_SEND_STOP_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "plan/stop_run.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct send_stop
{
    std::uint64_t const  request_ = 0;
    std::string const    address_;
    plan::stop_run const stop_;
    epoch const          fence_ = 0;
    instant const        deadline_;

    friend bool operator==(send_stop const&, send_stop const&) = default;
};

} // namespace fescuevane::cell

#endif
