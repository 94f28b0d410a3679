// Purpose: age of a hold reply when it is processed.
#ifndef FESCUEVANE_CELL_HOLD_TIMING_HPP
#define FESCUEVANE_CELL_HOLD_TIMING_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <optional>

namespace fescuevane::cell
{

struct hold_timing
{
    target_id const    target_;
    bool const         answered_ = false;
    std::int64_t const age_micros_ = 0; // since the request was sent
    // Time until the leases lapse by the target's clock, negative after the
    // lapse. Empty without runs.
    std::optional<std::int64_t> const lease_left_micros_;

    friend bool operator==(hold_timing const&, hold_timing const&) = default;
};

} // namespace fescuevane::cell

#endif
