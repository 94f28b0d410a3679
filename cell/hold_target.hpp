// Purpose: command: renew the leases on a target and ask what runs.
#ifndef FESCUEVANE_CELL_HOLD_TARGET_HPP
#define FESCUEVANE_CELL_HOLD_TARGET_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

// `lease_clock_ms_` is a time of the target's own clock, 0: leases stay.
struct hold_target
{
    std::uint64_t const request_ = 0;
    target_id const     target_;
    std::string const   address_;
    epoch const         fence_ = 0;
    std::uint64_t const forgotten_ = 0; // ends up to here may be forgotten
    std::int64_t const  lease_clock_ms_ = 0;
    std::int64_t const  wait_ms_ = 0; // for an end
    instant const       deadline_;

    friend bool operator==(hold_target const&, hold_target const&) = default;
};

} // namespace fescuevane::cell

#endif
