// Purpose: computes when the leases of targets have lapsed, by the targets'
// clocks.
#include "cell/sessions.hpp"

#include <algorithm>

namespace fescuevane::cell
{

namespace
{

// Longest time that a lease takes on a clock that may be slow.
std::int64_t lease_micros(settings const& values, std::int64_t lease_ms)
{
    return static_cast<std::int64_t>(static_cast<double>(lease_ms) *
                                     (1 + values.clock_drift_) *
                                     micros_per_milli) +
           values.clock_slack_ms_ * micros_per_milli;
}

// A call that was meant for an earlier incarnation names an end far beyond the
// clock of a young one, which shortens the lease to the longest one.
std::int64_t longest_lease_micros(settings const& values)
{
    return lease_micros(values, values.max_lease_ms_);
}

// Latest time on the clock of an incarnation at which it may receive a renewal
// or a start for an earlier one. Its sender learns of the restart when the hold
// request that was open then is answered or fails.
std::int64_t latest_arrival_ms(settings const& values)
{
    return values.hold_wait_ms_ +
           (values.hold_slack_micros_ + values.late_order_micros_) /
               micros_per_milli;
}

double elapsed_ms(instant since, instant now)
{
    return static_cast<double>(since.remaining_until(now)) / micros_per_milli;
}

} // namespace

// Estimate of the target's clock now, extrapolated from its last reply.
std::int64_t target_clock(session_row const& session, instant now)
{
    return session.clock_ms_ +
           static_cast<std::int64_t>(elapsed_ms(session.clock_at_, now));
}

// What the clock of the known incarnation shows at least, if it runs slow.
std::int64_t find_least_clock(settings const&    values,
                              session_row const& session, instant now)
{
    return session.clock_ms_ +
           static_cast<std::int64_t>(elapsed_ms(session.clock_at_, now) *
                                     (1 - values.clock_drift_));
}

// When a run has ended that a later incarnation than the known one may have
// begun. In the past when there is none: the known one has replied since.
instant find_later_end(settings const& values, session_row const& session,
                       session_run const& run)
{
    return run.reaches_later_until_ <= session.proven_at_
               ? instant()
               : run.reaches_later_until_.after(longest_lease_micros(values));
}

// Latest end, on the target's clock, of the leases that former owners granted
// on an incarnation that shows the present epoch at `clock_ms`. It shortens a
// renewal for an earlier incarnation to the longest lease, which is more than
// owners grant.
std::int64_t find_former_lease_end(settings const& values,
                                   std::int64_t    clock_ms)
{
    return std::max(clock_ms + values.lease_ms_,
                    std::min(clock_ms, latest_arrival_ms(values)) +
                        values.max_lease_ms_);
}

namespace
{

// When the last lease that a former owner granted on a target that wasn't
// reached has lapsed. A former owner that is cut off keeps renewing leases
// while it reaches most targets of the shard; so while no target can be reached
// there is no such time.
instant find_unconfirmed_lapse(node const& context, session_row const& session)
{
    instant const since = context.owned_.find(session.shard_)->exclusive_since_;
    return since == instant::never()
               ? since
               : since.after(lease_micros(context.settings_,
                                          context.settings_.lease_ms_));
}

// The same if the former owner took a later incarnation for the one it knew.
instant find_latest_lapse(node const& context, session_row const& session)
{
    instant const since = context.owned_.find(session.shard_)->exclusive_since_;
    return since.after(longest_lease_micros(context.settings_));
}

} // namespace

// When no granted lease can still be running, even on a clock that is slow.
instant find_lapse(node const& context, session_row const& session)
{
    settings const& values = context.settings_;
    if (session.clock_ms_ == 0)
    {
        return session.granted_before_
                   ? find_unconfirmed_lapse(context, session)
                   : session.contact_at_;
    }
    double const wait_ms =
        static_cast<double>(session.granted_ms_ + values.clock_slack_ms_ -
                            session.clock_ms_) /
        (1 - values.clock_drift_);
    return session.clock_at_.after(
        static_cast<std::int64_t>(wait_ms * micros_per_milli) +
        micros_per_milli);
}

// What may be true of the work on an unresponsive target. Once its leases have
// lapsed nothing runs there, but it may still hold ends of earlier work. A
// target that is cut off leaves the list and comes back; one that announced
// that it leaves takes its ends along.
run_outlook find_outlook(node const& context, session_row const& session)
{
    instant const lapse = find_lapse(context, session);
    bool const    granted = session.clock_ms_ != 0 || session.granted_before_;
    bool const    left = !session.listed_ && session.info_->leaving_;
    bool const    awaited = granted && !left && lapse != instant::never();
    // No reply has shown yet which incarnation is there.
    bool const    unreached = session.clock_ms_ == 0 && granted && !left;
    instant const latest =
        unreached ? std::max(lapse, find_latest_lapse(context, session))
                  : lapse;
    instant settles =
        awaited ? count_silence_from(context, lapse)
                      .after(context.settings_.unreported_wait_micros_)
                : lapse;
    for (auto const& [key, run] : session.runs_)
    {
        settles =
            std::max(settles, find_later_end(context.settings_, session, run));
    }
    return {.heard_at_ = session.contact_at_,
            .lapses_at_ = latest,
            .settles_at_ = std::max(settles, latest)};
}

// True when the target answered the latest hold request, as far as is known.
bool is_answering(session_row const& session)
{
    return session.phase_ == session_phase::attached && !session.unanswered_;
}

// False for an unresponsive target from which nothing is expected: it never
// answered, or the wait for its unreported ends is over.
bool may_have_work(node const& context, session_row const& session)
{
    if (session.phase_ == session_phase::attached || !session.runs_.empty() ||
        has_late_starts(context, session))
    {
        return true;
    }
    // A target that was just listed gets work with its first reply.
    return session.contact_at_.after(context.settings_.unresponsive_micros_) >
               context.now_ ||
           judge_runs(find_outlook(context, session), context.now_) !=
               run_certainty::settled;
}

} // namespace fescuevane::cell
