// Purpose: events: runs and ends that targets report.
#include "cell/hold_timing.hpp"
#include "cell/records.hpp"
#include "cell/sessions.hpp"
#include "cell/tick_observer.hpp"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

namespace
{

void apply_ends(node& context, session_row& session, target_id const& id,
                hold_reply const& reply)
{
    std::vector<reported_end const*> ends;
    for (reported_end const& end : reply.ends_)
    {
        if (end.number_ > session.processed_)
        {
            ends.push_back(&end);
        }
    }
    std::sort(ends.begin(), ends.end(),
              [](reported_end const* a, reported_end const* b)
              {
                  return a->number_ < b->number_;
              });
    for (reported_end const* end : ends)
    {
        run_key const run = to_local(context, session, end->run_);
        session.processed_ = end->number_;
        session.runs_.erase(run);
        session.unstored_.push_back(
            {end->number_, run.stage_.job_, std::nullopt});
        tell(context, session,
             plan::run_ended{run, id, end->end_, end->checkpoint_});
    }
}

// Ends runs that the target should have but doesn't report.
void end_missing_runs(node& context, session_row& session, target_id const& id,
                      std::set<run_key> const& reported,
                      std::int64_t             reply_clock_ms)
{
    std::vector<run_key> missing;
    for (auto& [key, run] : session.runs_)
    {
        if (reported.contains(key))
        {
            continue;
        }
        if (run.late_until_ != instant::never())
        {
            if (is_late_start_over(context, session, run))
            {
                missing.push_back(key);
            }
            continue;
        }
        // A run that is being stopped may be absent before its end is listed.
        bool const stopping =
            run.stop_wanted_ || run.stopped_at_ != instant::never();
        bool const was_there =
            !stopping && run.confirmed_at_ < session.hold_sent_;
        // A run that was there is listed with its end, but slow targets take
        // long to stop one. A run that never began, or whose incarnation has
        // ended, leaves no end behind.
        bool const stopped =
            run.stopped_at_ != instant::never() &&
            run.stopped_at_.after(run.confirmed_at_ == instant::never()
                                      ? context.settings_.stop_micros_
                                      : context.settings_.stop_end_micros_) <
                session.hold_sent_;
        // The target rejects a start that arrives after this time.
        run.absent_ =
            run.absent_ ||
            (!stopping && run.confirmed_at_ == instant::never() &&
             run.start_until_ms_ != 0 && run.start_until_ms_ < reply_clock_ms);
        if (was_there || stopped)
        {
            missing.push_back(key);
        }
        else if (run.absent_ ||
                 (!stopping && run.uncertain_at_ < session.hold_sent_))
        {
            // A stop also makes the target reject a start that is still in
            // flight.
            run.stop_wanted_ = true;
        }
    }
    for (run_key const& key : missing)
    {
        bool const notify_planner = !session.runs_.at(key).ended_;
        log_run_judged(context, id, key,
                       "a complete report of the target does not list it");
        session.runs_.erase(key);
        if (notify_planner)
        {
            tell(context, session, plan::run_ended{key, id, run_end::lost, ""});
        }
    }
}

} // namespace

void log_run_judged(node& context, target_id const& id, run_key const& run,
                    std::string const& why)
{
    log_event(context, "run_judged",
              {{"job", run.stage_.job_.str()},
               {"step", std::to_string(run.stage_.step_)},
               {"index", std::to_string(run.index_)},
               {"run", std::to_string(run.run_)},
               {"target", id.str()},
               {"reason", why}});
}

// Tells the planner that all ends of the target were reported, or that none is
// expected any more.
void notify_ends_read(node& context, target_id const& id, session_row& session)
{
    if (session.unread_)
    {
        session.unread_ = false;
        tell(context, session, plan::unreported_ends_settled{id});
    }
}

namespace
{

void apply_report(node& context, session_row& session, target_id const& id,
                  hold_reply const& reply)
{
    apply_ends(context, session, id, reply);
    std::set<run_key> reported;
    for (reported_run const& run : reply.runs_)
    {
        run_key const key = to_local(context, session, run.run_);
        reported.insert(key);
        session_run& known = session.runs_[key];
        known.confirmed_at_ = std::min(known.confirmed_at_, context.now_);
        known.uncertain_at_ = instant::never();
        known.absent_ = false;
        known.ended_ = false;
        tell(context, session,
             plan::run_seen{key, id, run.checkpoint_, run.percent_, run.load_});
    }
    constexpr std::size_t ends_per_reply = 500;
    if (reply.ends_.size() < ends_per_reply)
    {
        end_missing_runs(context, session, id, reported, reply.clock_ms_);
        notify_ends_read(context, id, session);
    }
}

} // namespace

// Handles a reply that shows another epoch or another incarnation. Returns true
// when the reply needs no further handling.
bool apply_mismatch(node& context, session_row& session, target_id const& id,
                    target_outcome outcome)
{
    if (outcome == target_outcome::superseded)
    {
        drop_shard(context, session.shard_,
                   "a target has accepted a higher epoch");
        return true;
    }
    if (outcome == target_outcome::replaced)
    {
        end_incarnation(context, id,
                        "another incarnation answers at its address");
        constexpr std::int64_t replaced_retry_micros = 500'000;
        session.hold_at_ = context.now_.after(replaced_retry_micros);
        return true;
    }
    return false;
}

namespace
{

// The target has accepted this owner's epoch, so it rejects later renewals of
// former owners.
void bound_former_leases(node const& context, session_row& session,
                         std::int64_t clock_ms)
{
    if (session.former_leases_)
    {
        session.granted_ms_ =
            std::max(session.granted_ms_,
                     find_former_lease_end(context.settings_, clock_ms));
    }
}

// Runs that a former owner started may outlast its renewals on a target whose
// incarnation has just begun, so its clock tells more than the time of contact.
void log_first_reply(node& context, session_row const& session,
                     hold_reply const& input)
{
    if (input.runs_.empty() || !session.runs_.empty())
    {
        return; // nothing to recover
    }
    log_event(
        context, "target_recovered",
        {{"target", input.target_.str()},
         {"shard", write_shard_name(session.shard_)},
         {"epoch", std::to_string(context.owned_.find(session.shard_)->epoch_)},
         {"clock_ms", std::to_string(input.clock_ms_)},
         {"runs", std::to_string(input.runs_.size())},
         {"ends", std::to_string(input.ends_.size())}});
}

// Reports to the observer how late a reply is processed, before it is applied.
void observe_hold(node const& context, session_row const& session,
                  hold_reply const& input)
{
    if (context.observer_ == nullptr)
    {
        return;
    }
    bool const answered = input.outcome_ == target_outcome::done;
    std::optional<std::int64_t> left_micros;
    if (answered && session.clock_ms_ != 0 && !session.runs_.empty())
    {
        // The target's clock went on while the reply waited for this tick.
        std::int64_t const clock_ms =
            std::max(input.clock_ms_, target_clock(session, context.now_));
        left_micros = (session.granted_ms_ - clock_ms) * micros_per_milli;
    }
    context.observer_->judge_hold(
        {.target_ = input.target_,
         .answered_ = answered,
         .age_micros_ = session.hold_sent_.remaining_until(context.now_),
         .lease_left_micros_ = left_micros});
    if (left_micros && *left_micros < 0)
    {
        context.observer_->lapse_lease(input.target_);
    }
}

} // namespace

void apply(node& context, hold_reply const& input)
{
    auto const probe = context.probes_.find(input.request_);
    if (probe != context.probes_.end())
    {
        if (input.outcome_ != target_outcome::unknown)
        {
            shard_row& shard = *context.shards_.find(probe->second);
            if (shard.reached_at_.remaining_until(context.now_) >
                context.settings_.suspect_micros_)
            {
                shard.reached_since_ = context.now_;
            }
            shard.reached_at_ = context.now_;
            wake_at(context, context.now_); // the shard may be claimable now
        }
        context.probes_.erase(probe);
        return;
    }
    session_row* const session = context.sessions_.find(input.target_);
    if (session == nullptr || !session->open_ ||
        session->hold_ != input.request_)
    {
        return;
    }
    observe_hold(context, *session, input);
    settings const& values = context.settings_;
    session->hold_ = 0;
    session->hold_at_ = context.now_.after(values.hold_retry_micros_);
    if (apply_mismatch(context, *session, input.target_, input.outcome_))
    {
        return;
    }
    bool const leased = is_answering(*session) && session->clock_ms_ != 0;
    session->unanswered_ = input.outcome_ != target_outcome::done;
    if (session->unanswered_)
    {
        if (session->hold_lease_ms_ != 0)
        {
            record_late_renewal(*session, session->hold_lease_ms_,
                                context.now_.after(values.late_order_micros_));
        }
        if (session->phase_ == session_phase::attached &&
            count_silence_from(context, session->contact_at_)
                    .remaining_until(context.now_) >
                values.unresponsive_micros_)
        {
            mark_unresponsive(context, input.target_, input.error_);
        }
        return;
    }
    if (session->born_unix_ms_ != 0 && input.born_unix_ms_ != 0 &&
        session->born_unix_ms_ != input.born_unix_ms_)
    {
        replace_incarnation(context, input.target_);
    }
    bool const first = session->phase_ != session_phase::attached;
    if (session->clock_ms_ == 0)
    {
        bound_former_leases(context, *session, input.clock_ms_);
    }
    bool const reports_start =
        std::exchange(session->born_unix_ms_, input.born_unix_ms_) !=
        input.born_unix_ms_;
    session->clock_ms_ = input.clock_ms_;
    session->clock_at_ = context.now_;
    session->contact_at_ = context.now_;
    session->proven_at_ = session->hold_sent_;
    stop_late_starts(context, *session, input.target_);
    if (first)
    {
        log_first_reply(context, *session, input);
        session->lapsed_ = false;
        // From now on the target rejects orders of former owners.
        session->stops_until_ =
            std::min(session->stops_until_,
                     context.now_.after(values.stop_taken_micros_));
        session->phase_ = session_phase::attached;
        update_planner_target(context, input.target_);
        // The stored row may no longer name a target that was unresponsive for
        // long.
        if (!is_granted(context, input.target_))
        {
            note_grants_changed(context, session->shard_, true);
        }
        note_fence_contact(context, session->shard_,
                           *context.owned_.find(session->shard_));
    }
    else if (reports_start)
    {
        update_planner_target(context, input.target_);
    }
    apply_report(context, *session, input.target_, input);
    bool const stored =
        session->unstored_.empty() && !awaits_late_starts(*session);
    // A target that lists ends answers at once. So the next hold request waits
    // until their effect is stored and the target may discard them, and
    // likewise while a stop is pending.
    session->hold_at_ = !leased || stored
                            ? context.now_
                            : context.now_.after(values.hold_unstored_micros_);
}

} // namespace fescuevane::cell
