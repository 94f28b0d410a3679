// Purpose: a run as the session with its target knows it.
#ifndef FESCUEVANE_CELL_SESSION_RUN_HPP
#define FESCUEVANE_CELL_SESSION_RUN_HPP

#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct session_run
{
    instant      confirmed_at_ = instant::never(); // the target has it
    instant      uncertain_at_ = instant::never(); // the start is unanswered
    instant      stopped_at_ = instant::never(); // the target accepted the stop
    std::int64_t start_until_ms_ = 0; // the target rejects the start later
    bool         absent_ = false;     // not listed after `start_until_ms_`
    bool         stop_wanted_ = false;
    bool         stop_sent_ = false; // an order to stop may be executed
    bool         stop_open_ = false; // such an order is in flight
    instant      stop_after_;        // next order to stop
    // Set for a start that was sent to an earlier incarnation of the target:
    // until then the present one may carry it out.
    instant late_until_ = instant::never();
    bool    ended_ = false; // the planner already knows the end
    // Until then the start, or a renewal of its lease, may have reached a later
    // incarnation of the target than the one that is known.
    instant reaches_later_until_;
};

} // namespace fescuevane::cell

#endif
