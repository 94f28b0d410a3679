// Purpose: command: renew the leases on a target and query its runs.
#ifndef FESCUEVANE_CELL_HOLD_TARGET_HPP
#define FESCUEVANE_CELL_HOLD_TARGET_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

// `lease_clock_ms_` is a time of the target's own clock; 0 leaves the leases
// unchanged.
struct hold_target
{
    std::uint64_t const request_ = 0;
    target_id const     target_;
    std::string const   address_;
    epoch const         fence_ = 0;
    std::uint64_t const forgotten_ = 0; // highest end that may be discarded
    std::int64_t const  lease_clock_ms_ = 0;
    std::int64_t const  wait_ms_ = 0; // longest wait for an end
    instant const       deadline_;

    friend bool operator==(hold_target const&, hold_target const&) = default;
};

} // namespace fescuevane::cell

#endif
