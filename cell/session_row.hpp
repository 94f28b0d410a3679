// Purpose: row of a target and of the contact with it.
#ifndef FESCUEVANE_CELL_SESSION_ROW_HPP
#define FESCUEVANE_CELL_SESSION_ROW_HPP

#include "cell/late_start.hpp"
#include "cell/listed_target.hpp"
#include "cell/order_row.hpp"
#include "cell/session_phase.hpp"
#include "cell/session_run.hpp"
#include "cell/unstored_end.hpp"
#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/run_key.hpp"
#include "core/shard_id.hpp"
#include "plan/command.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace fescuevane::cell
{

struct session_row
{
    // From the list
    std::shared_ptr<listed_target const> info_;
    bool                                 listed_ = true;
    instant                              unlisted_at_; // when it isn't
    shard_id                             shard_;

    // Contact; only while the shard is owned
    bool open_ = false;
    bool granted_before_ = true; // a former owner may have started work there
    bool former_leases_ = true;  // the same, kept across incarnations
    // Stops that former owners ordered may take until then. Never: unknown, as
    // the target hasn't shown yet that it rejects their orders.
    instant       stops_until_ = instant::never();
    session_phase phase_ = session_phase::attaching;
    std::int64_t  born_unix_ms_ = 0; // incarnation that was reached, 0: none
    std::int64_t  clock_ms_ = 0;     // of the target, at `clock_at_`
    instant       clock_at_;
    std::int64_t  granted_ms_ = 0; // latest end of a lease, target's clock
    instant       contact_at_;     // latest reply
    instant       proven_at_;      // when the latest answered hold was sent
    std::uint64_t hold_ = 0;       // request in flight, 0: none
    instant       hold_sent_;
    instant       hold_at_;           // next hold request
    std::int64_t  hold_lease_ms_ = 0; // that the latest hold requested
    late_start    late_renewal_;      // by an unanswered hold request
    // The latest hold request or start has no reply, or a reply to an order
    // showed a restart.
    bool unanswered_ = false;
    bool lapsed_ = false; // its leases, until it responds

    // Runs and ends
    std::map<run_key, session_run> runs_;
    bool unread_ = false; // runs ended by the lapse may have unreported ends
    std::uint64_t forgotten_ = 0; // highest end that the target may discard
    std::uint64_t processed_ = 0; // highest end applied
    std::deque<unstored_end>      unstored_;
    std::deque<plan::command>     orders_;      // not sent yet
    std::deque<order_row>         repeats_;     // unanswered starts
    std::map<run_key, late_start> late_starts_; // kept across incarnations
    std::uint32_t                 open_orders_ = 0;
};

} // namespace fescuevane::cell

#endif
