// Purpose: row of an advice proxy, a host that queries the policy service for
// this one.
#ifndef FESCUEVANE_CELL_ADVICE_PROXY_ROW_HPP
#define FESCUEVANE_CELL_ADVICE_PROXY_ROW_HPP

#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::cell
{

// Other owners use the same hosts, so requests queued there show only in the
// time that replies take.
struct advice_proxy_row
{
    instant      busy_until_;     // until our own requests are answered
    std::int64_t lag_micros_ = 0; // latest reply, beyond its expected time
    instant      lag_at_;         // when the lag was observed
    instant      urgent_until_;   // until then: has short requests
    // As its latest heartbeat reports, and with what was sent to it since.
    instant shared_busy_until_;
    bool    wait_reported_ = false; // by that heartbeat
};

} // namespace fescuevane::cell

#endif
