// Purpose: unanswered starts. The next incarnation of their target may carry
// them out: its clock begins at zero, so they don't look late to it, and it
// knows neither epochs nor stopped runs.
#include "cell/order_reply.hpp"
#include "cell/send_start.hpp"
#include "cell/sessions.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

namespace
{

bool may_still_arrive(node const& context, late_start const& start)
{
    return start.arrives_until_ > context.now_;
}

bool may_still_arrive(node const& context, session_row const& session,
                      run_key const& run)
{
    auto const found = session.late_starts_.find(run);
    return found != session.late_starts_.end() &&
           may_still_arrive(context, found->second);
}

// Latest end of the lease that the start may give to the present incarnation.
std::int64_t find_latest_lease_end(node const&        context,
                                   session_row const& session,
                                   late_start const&  start)
{
    std::int64_t const left_ms =
        context.now_.remaining_until(start.arrives_until_) / micros_per_milli;
    return std::min(start.lease_clock_ms_, target_clock(session, context.now_) +
                                               left_ms +
                                               context.settings_.max_lease_ms_);
}

// The incarnation that sent the reply may have begun the run after sending it,
// or was the one that confirmed it. A run that was confirmed when the hold
// request was sent is in the reply, if it is there.
bool may_postdate_reply(session_row const& session, session_run const& run)
{
    return run.confirmed_at_ != instant::never() &&
           (run.confirmed_at_ > session.hold_sent_ ||
            run.confirmed_at_ <= run.reaches_later_until_);
}

void record_open_starts(node const& context, target_id const& id,
                        session_row& session)
{
    for (order_row const& order : context.orders_)
    {
        if (order.target_ == id && order.kind_ == order_kind::start)
        {
            record_late_start(context, session, order.run_, *order.start_);
        }
    }
}

} // namespace

void record_late_start(node const& context, session_row& session,
                       run_key const& run, send_start const& start)
{
    std::erase_if(session.late_starts_,
                  [&context](auto const& entry)
                  {
                      return !may_still_arrive(context, entry.second);
                  });
    session.late_starts_[run] = {.arrives_until_ = start.deadline_.after(
                                     context.settings_.late_order_micros_),
                                 .born_unix_ms_ = session.born_unix_ms_,
                                 .lease_clock_ms_ = start.lease_clock_ms_};
}

// A renewal meant for an earlier incarnation is far beyond the clock of the
// next one, which shortens it to the longest lease.
void record_late_renewal(session_row& session, std::int64_t lease_clock_ms,
                         instant arrives_until)
{
    late_start& renewal = session.late_renewal_;
    renewal.arrives_until_ = std::max(renewal.arrives_until_, arrives_until);
    renewal.lease_clock_ms_ = std::max(renewal.lease_clock_ms_, lease_clock_ms);
    renewal.born_unix_ms_ = session.born_unix_ms_;
}

namespace
{

// Accounts for a renewal that the present incarnation may have received
// although it was sent to an earlier one.
void apply_late_renewal(node const& context, session_row& session)
{
    late_start& renewal = session.late_renewal_;
    if (renewal.born_unix_ms_ != session.born_unix_ms_ &&
        may_still_arrive(context, renewal))
    {
        session.granted_ms_ =
            std::max(session.granted_ms_,
                     find_latest_lease_end(context, session, renewal));
        renewal.born_unix_ms_ = session.born_unix_ms_;
    }
}

} // namespace

// Runs end with the incarnation of their target, except those that the next one
// may still begin.
void replace_incarnation(node& context, target_id const& id)
{
    session_row& session = *context.sessions_.find(id);
    // The hold request that this incarnation answered has renewed leases, too.
    instant const decided_until = context.now_.after(micros_per_milli);
    record_late_renewal(session, session.hold_lease_ms_, decided_until);
    record_open_starts(context, id, session);
    discard_orders(context, id);
    session.open_orders_ = 0;
    std::map<run_key, session_run> kept;
    std::vector<run_key>           ended;
    for (auto const& [key, run] : session.runs_)
    {
        if (may_postdate_reply(session, run))
        {
            record_late_renewal(session, run.start_until_ms_, decided_until);
            kept.emplace(key, run).first->second.reaches_later_until_ =
                instant(); // the incarnation that replied is the known one now
        }
        else if (may_still_arrive(context, session, key))
        {
            kept.emplace(key, run);
        }
        else
        {
            ended.push_back(key);
        }
    }
    if (kept.empty())
    {
        end_incarnation(context, id, "target restarted");
        return;
    }
    log_event(context, "target_life_ended",
              {{"target", id.str()},
               {"runs", std::to_string(ended.size())},
               {"kept", std::to_string(kept.size())},
               {"reason", "target restarted"}});
    for (run_key const& key : ended)
    {
        tell(context, session, plan::run_ended{key, id, run_end::lost, ""});
    }
    reset_incarnation(session);
    session.runs_ = std::move(kept);
}

void stop_late_starts(node& context, session_row& session, target_id const& id)
{
    apply_late_renewal(context, session);
    for (auto& [key, start] : session.late_starts_)
    {
        if (start.born_unix_ms_ == session.born_unix_ms_ ||
            !may_still_arrive(context, start))
        {
            continue;
        }
        start.born_unix_ms_ = session.born_unix_ms_;
        session_run stopped;
        stopped.stop_wanted_ = true;
        stopped.late_until_ = start.arrives_until_;
        stopped.ended_ = !session.runs_.contains(key);
        session.runs_[key] = stopped;
        session.granted_ms_ =
            std::max(session.granted_ms_,
                     find_latest_lease_end(context, session, start));
        log_event(context, "late_start_stopped",
                  {{"job", key.stage_.job_.str()},
                   {"run", std::to_string(key.run_)},
                   {"target", id.str()},
                   {"ended", stopped.ended_ ? "true" : "false"}});
    }
}

// The clock of an incarnation never goes back, and that of the next one begins
// at zero.
bool shows_restart(order_row const& order, order_reply const& reply)
{
    return reply.clock_ms_ != 0 && reply.clock_ms_ < order.least_clock_ms_;
}

// Asks at once, and without a lease, which incarnation replies, and sends no
// start before it has. A renewal that is still in flight may reach it, too.
void doubt_incarnation(node& context, session_row& session,
                       order_row const& order, order_reply const& reply)
{
    settings const& values = context.settings_;
    instant         renewed_until = context.now_;
    if (!session.unanswered_ && session.hold_ != 0)
    {
        renewed_until =
            session.hold_sent_.after(values.hold_wait_ms_ * micros_per_milli +
                                     values.hold_slack_micros_);
        record_late_renewal(session, session.hold_lease_ms_, renewed_until);
    }
    auto const run = session.runs_.find(order.run_);
    if (order.kind_ == order_kind::start && run != session.runs_.end())
    {
        run->second.reaches_later_until_ = std::max(
            {run->second.reaches_later_until_, context.now_, renewed_until});
    }
    if (session.unanswered_)
    {
        return; // asked already
    }
    if (reply.outcome_ == target_outcome::unknown)
    {
        log_event(context, "order_unanswered",
                  {{"target", order.target_.str()}, {"error", reply.error_}});
    }
    else
    {
        log_event(context, "target_restart_shown",
                  {{"target", order.target_.str()},
                   {"clock_ms", std::to_string(reply.clock_ms_)},
                   {"least_clock_ms", std::to_string(order.least_clock_ms_)}});
    }
    session.unanswered_ = true;
    session.hold_ = 0;
    session.hold_at_ = context.now_;
}

// True when the start can't begin the run any more: the target has rejected it,
// or it would have arrived by now. A run that is being stopped may be absent
// from a report before its end is listed.
bool is_late_start_over(node const& context, session_row const& session,
                        session_run const& run)
{
    return run.stopped_at_ != instant::never()
               ? run.stopped_at_.after(context.settings_.stop_taken_micros_) <
                     session.hold_sent_
               : run.late_until_ < session.hold_sent_;
}

bool awaits_late_starts(session_row const& session)
{
    return !session.late_starts_.empty() &&
           std::any_of(session.runs_.begin(), session.runs_.end(),
                       [](auto const& entry)
                       {
                           return entry.second.late_until_ != instant::never();
                       });
}

bool has_late_starts(node const& context, session_row const& session)
{
    return std::any_of(session.late_starts_.begin(), session.late_starts_.end(),
                       [&context](auto const& entry)
                       {
                           return may_still_arrive(context, entry.second);
                       });
}

} // namespace fescuevane::cell
