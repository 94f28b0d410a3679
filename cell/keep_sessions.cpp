// Purpose: system: leases, orders and reports of the targets of owned shards.
#include "cell/records.hpp"
#include "cell/sessions.hpp"
#include "cell/tick_observer.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

namespace
{

// Renewals and starts need an ownership that can't have been passed on.
bool may_order(node const& context, session_row const& session)
{
    owned_row const& own = *context.owned_.find(session.shard_);
    return !may_be_released(own) && has_proof(context, session.shard_, own);
}

void send_hold(node& context, target_id const& id, session_row& session)
{
    settings const& values = context.settings_;
    std::int64_t    lease = 0;
    // An unresponsive target is only queried, without a lease or a wait: a
    // renewal that it receives late would delay the end of what runs there.
    bool const       answers = is_answering(session);
    owned_row const& own = *context.owned_.find(session.shard_);
    if (session.clock_ms_ != 0 && answers && may_order(context, session))
    {
        lease = target_clock(session, context.now_) + values.lease_ms_;
        session.granted_ms_ = std::max(session.granted_ms_, lease);
    }
    bool const waits_for_end =
        answers && session.unstored_.empty() && !awaits_late_starts(session);
    std::int64_t const wait_ms = !waits_for_end ? 0
                                 : has_proof_of_store(context, own)
                                     ? values.hold_wait_ms_
                                     : values.hold_proof_wait_ms_;
    session.hold_ = next_request(context);
    session.hold_sent_ = context.now_;
    session.hold_lease_ms_ = lease;
    context.outbox_.push_back(hold_target{
        .request_ = session.hold_,
        .target_ = id,
        .address_ = session.info_->address_,
        .fence_ = context.owned_.find(session.shard_)->epoch_,
        // After a silence another incarnation may answer. It numbers its ends
        // from 1 again, so an acknowledgement meant for the earlier one would
        // discard its ends.
        .forgotten_ = answers ? session.forgotten_ : 0,
        .lease_clock_ms_ = lease,
        .wait_ms_ = wait_ms,
        .deadline_ = context.now_.after(wait_ms * micros_per_milli +
                                        values.hold_slack_micros_)});
}

} // namespace

namespace
{

// Lets the target discard ends whose effect is stored. Only for sessions with
// ends that aren't stored.
void advance_forgotten(node& context, session_row& session)
{
    while (!session.unstored_.empty())
    {
        unstored_end&     end = session.unstored_.front();
        record_row const* record = context.records_.find(end.job_);
        if (!end.sequence_ ||
            (record != nullptr && record->saved_ < *end.sequence_))
        {
            break;
        }
        session.forgotten_ = end.number_;
        session.unstored_.pop_front();
    }
    if (session.unstored_.empty())
    {
        session.hold_at_ = context.now_;
    }
}

// Assigns each new end the job change that holds its effect. The planners have
// run since the ends arrived, so these changes are known now.
void assign_end_sequences(node& context, session_row& session)
{
    owned_row const* const own = context.owned_.find(session.shard_);
    if (own == nullptr || own->plan_needed_)
    {
        return; // the planner hasn't seen the latest ends yet
    }
    for (unstored_end& end : session.unstored_)
    {
        record_row const* const record = context.records_.find(end.job_);
        if (!end.sequence_)
        {
            // A job that this owner loaded and hasn't changed may never change
            // again, so its ends, like those of unknown jobs, wait for nothing.
            end.sequence_ = record == nullptr ? 0 : record->changed_;
        }
    }
}

bool has_single_result(node const& context, run_key const& run)
{
    record_row const* const record = context.records_.find(run.stage_.job_);
    return record == nullptr ||
           run.stage_.step_ >= record->job_->steps_.size() ||
           has_single_result(record->job_->steps_[run.stage_.step_]);
}

} // namespace

namespace
{

// Other commands stay queued.
std::vector<run_key> take_unsent_starts(session_row& session)
{
    std::vector<run_key>      starts;
    std::deque<plan::command> kept;
    for (plan::command& order : session.orders_)
    {
        auto const* const start = std::get_if<plan::start_run>(&order);
        if (start == nullptr)
        {
            kept.push_back(std::move(order));
            continue;
        }
        session.runs_.erase(start->run_);
        starts.push_back(start->run_);
    }
    session.orders_ = std::move(kept);
    return starts;
}

// A target whose latest hold request has no reply may be another incarnation.
// It gets no start before it has replied, and tickets don't wait that long.
void refuse_unsent_starts(node& context, target_id const& id,
                          session_row& session)
{
    for (run_key const& run : take_unsent_starts(session))
    {
        tell(context, session,
             plan::run_refused{run, id, plan::refusal::unhealthy});
    }
}

} // namespace

// Unsent starts may go to another target at once.
void withdraw_unsent_starts(node& context, target_id const& id,
                            session_row& session)
{
    for (run_key const& run : take_unsent_starts(session))
    {
        log_run_judged(context, id, run,
                       "its start was not sent to the target");
        tell(context, session, plan::run_ended{run, id, run_end::lost, ""});
    }
}

namespace
{

// Long-running tasks, and tasks that may have copies, have no single result
// that an unresponsive target must report first: they start elsewhere as soon
// as nothing can run there. Runs that a later incarnation may have begun have
// the longest lease.
void end_lapsed_runs(node& context, target_id const& id, session_row& session)
{
    std::vector<run_key> lapsed;
    for (auto const& [key, run] : session.runs_)
    {
        if (has_single_result(context, key))
        {
            continue;
        }
        instant const end = find_later_end(context.settings_, session, run);
        if (end > context.now_)
        {
            wake_at(context, end);
            continue;
        }
        lapsed.push_back(key);
    }
    for (run_key const& key : lapsed)
    {
        bool const notify_planner = !session.runs_.at(key).ended_;
        session.runs_.erase(key);
        if (notify_planner)
        {
            log_run_judged(context, id, key, "its lease has lapsed");
            tell(context, session,
                 plan::run_ended{key, id, run_end::lapsed, "", true});
        }
    }
    session.unread_ = session.unread_ || !lapsed.empty();
}

// What the time of the lapse was computed from.
char const* describe_lapse_bound(session_row const& session)
{
    if (session.clock_ms_ != 0)
    {
        return "clock of the target";
    }
    return session.granted_before_ ? "end of former owners" : "no grant";
}

// After the lapse an unresponsive target has no runs any more, but may still
// have unreported ends.
void handle_lapse(node& context, target_id const& id,
                  run_outlook const& outlook)
{
    session_row& session = *context.sessions_.find(id);
    if (session.lapsed_)
    {
        end_lapsed_runs(context, id, session);
        return;
    }
    if (judge_runs(outlook, context.now_) == run_certainty::may_run)
    {
        wake_at(context, outlook.lapses_at_);
        return;
    }
    session.lapsed_ = true;
    session.stops_until_ = std::min(session.stops_until_, context.now_);
    if (!session.runs_.empty())
    {
        std::int64_t const held =
            context.now_.remaining_until(outlook.settles_at_);
        log_event(
            context, "leases_lapsed",
            {{"target", id.str()},
             {"runs", std::to_string(session.runs_.size())},
             {"listed", session.listed_ ? "true" : "false"},
             {"silent_ms",
              std::to_string(outlook.heard_at_.remaining_until(context.now_) /
                             micros_per_milli)},
             {"held_ms", std::to_string(held / micros_per_milli)},
             {"bound", describe_lapse_bound(session)},
             {"clock_ms", std::to_string(session.clock_ms_)},
             {"granted_ms", std::to_string(session.granted_ms_)}});
    }
    end_lapsed_runs(context, id, session);
    update_planner_target(context, id);
}

// True while an unanswered start is worth sending again: the target responds at
// the address that it was sent to and would still accept it.
bool may_resend(node const& context, session_row const& session,
                order_row const& order)
{
    send_start const& start = *order.start_;
    return is_answering(session) && session.info_->address_ == start.address_ &&
           target_clock(session, context.now_) < start.lease_clock_ms_ &&
           !may_be_released(*context.owned_.find(session.shard_));
}

// Sends unanswered starts again under the same run number: the target treats a
// duplicate as the same run, whether it has begun or not. Waits for the
// deadline of the last attempt, since a removed target refuses connections at
// once.
void resend_starts(node& context, session_row& session)
{
    std::deque<order_row> later;
    for (order_row const& order : std::exchange(session.repeats_, {}))
    {
        auto const run = session.runs_.find(order.run_);
        if (run == session.runs_.end() || run->second.stop_wanted_ ||
            run->second.confirmed_at_ != instant::never())
        {
            continue;
        }
        instant const due = order.start_->deadline_;
        // The target is asked first whether it is the same incarnation.
        instant const asked_until =
            due.after(context.settings_.hold_slack_micros_);
        if (asked_until > context.now_ && !is_answering(session))
        {
            wake_at(context, asked_until);
            later.push_back(order);
        }
        else if (!may_resend(context, session, order))
        {
            mark_start_uncertain(context, session, order,
                                 "no reply from the target");
        }
        else if (due > context.now_)
        {
            wake_at(context, due);
            later.push_back(order);
        }
        else
        {
            log_event(context, "start_repeated",
                      {{"job", order.run_.stage_.job_.str()},
                       {"run", std::to_string(order.run_.run_)},
                       {"target", order.target_.str()}});
            post_start(context, session, order.run_, *order.start_, true);
        }
    }
    session.repeats_ = std::move(later);
}

// Returns false when the session was removed.
bool handle_unresponsive_target(node& context, target_id const& id)
{
    session_row& session = *context.sessions_.find(id);
    withdraw_unsent_starts(context, id, session);
    run_outlook const   outlook = find_outlook(context, session);
    run_certainty const certainty = judge_runs(outlook, context.now_);
    handle_lapse(context, id, outlook);
    if (certainty != run_certainty::settled)
    {
        wake_at(context, outlook.settles_at_);
        return true;
    }
    if (session.phase_ == session_phase::attaching)
    {
        session.phase_ = session_phase::silent;
        update_planner_target(context, id);
    }
    if (!session.runs_.empty())
    {
        if (context.observer_ != nullptr)
        {
            context.observer_->lapse_lease(id);
        }
        end_incarnation(context, id, "its leases have lapsed");
    }
    notify_ends_read(context, id, session);
    if (is_granted(context, id) && !may_have_work(context, session))
    {
        note_grants_changed(context, session.shard_, false);
    }
    // Another incarnation may appear that has to be told to reject late starts.
    if (!session.listed_ && !has_late_starts(context, session))
    {
        tell(context, session, plan::target_removed{id});
        note_grants_changed(context, session.shard_, false);
        context.sessions_.remove(id);
        return false;
    }
    return true;
}

// Removes a target that is no longer listed after a delay. A target that is cut
// off also leaves the list but keeps running, so a host that takes its shard
// over has to reach it or wait.
void remove_unlisted_target(node& context, target_id const& id,
                            session_row const& session)
{
    instant const due =
        session.unlisted_at_.after(context.settings_.unlisted_keep_micros_);
    if (due <= context.now_)
    {
        context.sessions_.remove(id);
        return;
    }
    wake_at(context, due);
}

// Logs once, when every target of the shard has been reached or given up, how
// the first contact with them ended.
void log_first_contact(node& context, shard_id const& shard, owned_row& own)
{
    std::array<std::size_t, 3> phases{}; // in the order of `session_phase`
    std::size_t                listed = 0;
    std::size_t                granted_before = 0;
    for (session_row const& session : context.sessions_)
    {
        if (session.open_ && session.shard_ == shard)
        {
            ++phases.at(static_cast<std::size_t>(session.phase_));
            listed += session.listed_ ? 1 : 0;
            granted_before += session.granted_before_ ? 1 : 0;
        }
    }
    auto const count = [&phases](session_phase phase)
    {
        return phases.at(static_cast<std::size_t>(phase));
    };
    if (count(session_phase::attaching) > 0)
    {
        return;
    }
    own.targets_known_ = true;
    log_event(context, "targets_known",
              {{"shard", write_shard_name(shard)},
               {"listed", std::to_string(listed)},
               {"attached", std::to_string(count(session_phase::attached))},
               {"granted", std::to_string(granted_before)},
               {"silent", std::to_string(count(session_phase::silent))}});
}

} // namespace

void keep_sessions(node& context)
{
    // Iterate backwards: removing a row moves the last one into its place.
    for (std::size_t row = context.sessions_.size(); row-- > 0;)
    {
        session_row* const session = &context.sessions_[row];
        if (!session->open_ && session->listed_)
        {
            continue; // of another shard
        }
        ++context.visited_;
        target_id const id = context.sessions_.key(row);
        if (!session->open_)
        {
            remove_unlisted_target(context, id, *session);
            continue;
        }
        // Most targets are attached and have no unstored ends; skip the
        // look-ups for them.
        if (!session->unstored_.empty())
        {
            assign_end_sequences(context, *session);
            advance_forgotten(context, *session);
        }
        // An owner that is behind delays declaring a target unresponsive, but
        // its leases lapse by the target's clock regardless.
        if (session->phase_ == session_phase::attached &&
            session->unanswered_ &&
            find_lapse(context, *session) <= context.now_)
        {
            mark_unresponsive(context, id, "its leases have lapsed");
        }
        if (session->phase_ != session_phase::attached &&
            !handle_unresponsive_target(context, id))
        {
            continue;
        }
        send_stops(context, id, *session);
        if (!session->repeats_.empty() && may_order(context, *session))
        {
            resend_starts(context, *session);
        }
        if (session->phase_ == session_phase::attached && session->unanswered_)
        {
            refuse_unsent_starts(context, id, *session);
        }
        while (is_answering(*session) &&
               session->open_orders_ < context.settings_.orders_open_ &&
               !session->orders_.empty() && may_order(context, *session))
        {
            plan::command const order = std::move(session->orders_.front());
            session->orders_.pop_front();
            send_order(context, id, *session, order);
        }
        if (session->hold_ == 0)
        {
            if (session->hold_at_ <= context.now_)
            {
                send_hold(context, id, *session);
            }
            else
            {
                wake_at(context, session->hold_at_);
            }
        }
    }
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        owned_row& own = context.owned_[row];
        if (own.phase_ == owned_phase::serving && !own.targets_known_)
        {
            log_first_contact(context, context.owned_.key(row), own);
        }
    }
}

} // namespace fescuevane::cell
