// Purpose: an unanswered start, which may still be carried out.
#ifndef FESCUEVANE_CELL_LATE_START_HPP
#define FESCUEVANE_CELL_LATE_START_HPP

#include "core/instant.hpp"

#include <compare>
#include <cstdint>

namespace fescuevane::cell
{

struct late_start
{
    instant      arrives_until_;
    std::int64_t born_unix_ms_ =
        0; // latest incarnation that was sent it or its stop
    std::int64_t lease_clock_ms_ = 0; // end of its lease, target's clock

    friend auto operator<=>(late_start const&, late_start const&) = default;
};

} // namespace fescuevane::cell

#endif
