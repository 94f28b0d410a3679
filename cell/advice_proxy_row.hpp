// Purpose: row of a host that asks the policy service for this one.
#ifndef FESCUEVANE_CELL_ADVICE_PROXY_ROW_HPP
#define FESCUEVANE_CELL_ADVICE_PROXY_ROW_HPP

#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::cell
{

// Other owners use the same hosts, so what waits there shows only in the time
// that answers take.
struct advice_proxy_row
{
    instant      busy_until_;     // our own questions are answered
    std::int64_t lag_micros_ = 0; // latest answer above its expected time
    instant      lag_at_;         // when that was seen
    instant      urgent_until_;   // short questions were asked lately
};

} // namespace fescuevane::cell

#endif
