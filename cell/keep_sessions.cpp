// Purpose: system and events: leases, orders and reports of the targets of
// owned shards.
//
// Index of sections
//   1. List of targets
//   2. Clocks and leases
//   3. Reports
//   4. Orders
//   5. Ticks
#include "cell/node.hpp"

#include "cell/hold_timing.hpp"
#include "cell/records.hpp"
#include "cell/tick_observer.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace fescuevane::cell
{
namespace
{

owned_row* find_owner(node& context, session_row const& session)
{
    owned_row* const own = context.owned_.find(session.shard_);
    return own != nullptr && own->planner_ ? own : nullptr;
}

void tell(node& context, session_row const& session, plan::event input)
{
    if (owned_row* const own = find_owner(context, session))
    {
        plan::post_event(*own->planner_, std::move(input));
        own->plan_needed_ = true;
    }
}

constexpr std::array<plan::target_phase, 3> planner_phases = {
    plan::target_phase::attaching, plan::target_phase::usable,
    plan::target_phase::silent};

} // namespace

void tell_planner(node& context, target_id const& id)
{
    session_row const& session = *context.sessions_.find(id);
    plan::target_phase phase =
        planner_phases.at(static_cast<std::size_t>(session.phase_));
    if (phase == plan::target_phase::attaching && session.lapsed_)
    {
        phase = plan::target_phase::lapsed;
    }
    if (phase == plan::target_phase::usable &&
        (!session.listed_ || session.info_->leaving_))
    {
        phase = plan::target_phase::draining;
    }
    tell(context, session,
         plan::target_set{.id_ = id,
                          .service_ = session.info_->service_,
                          .rack_ = session.info_->rack_,
                          .labels_ = session.info_->labels_,
                          .capacity_ = session.info_->capacity_,
                          .phase_ = phase});
}

// 1. List of targets

namespace
{

// Longest time for which work that nobody reported may go on.
std::int64_t longest_lease_micros(settings const& values)
{
    return static_cast<std::int64_t>(static_cast<double>(values.lease_ms_) *
                                     (1 + values.clock_drift_) *
                                     micros_per_milli) +
           values.clock_slack_ms_ * micros_per_milli;
}

// A reply to an order names its request only, so those of earlier sessions
// would be taken for replies to the present one.
void forget_orders(node& context, target_id const& id)
{
    // Backwards, since a removal moves the last row into the gap.
    for (std::size_t row = context.orders_.size(); row-- > 0;)
    {
        if (context.orders_[row].target_ == id)
        {
            std::uint64_t const request = context.orders_.key(row);
            context.orders_.remove(request);
        }
    }
}

void open_session(node& context, target_id const& id)
{
    forget_orders(context, id);
    session_row& session = *context.sessions_.find(id);
    owned_row&   own = *context.owned_.find(session.shard_);
    if (own.predecessor_stopped_)
    {
        own.exclusive_since_ = std::min(own.exclusive_since_, context.now_);
    }
    session_row fresh;
    fresh.info_ = session.info_;
    fresh.listed_ = session.listed_;
    fresh.unlisted_at_ = session.unlisted_at_;
    fresh.shard_ = session.shard_;
    fresh.open_ = true;
    fresh.hold_at_ = context.now_;
    fresh.contact_at_ = context.now_;
    session = std::move(fresh);
    tell_planner(context, id);
}

void mark_silent(node& context, target_id const& id, std::string const& why)
{
    context.sessions_.find(id)->phase_ = session_phase::silent;
    log_event(context, "target_silent", {{"target", id.str()}, {"error", why}});
    tell_planner(context, id);
}

// The life of a target that was reached is over: what ran there has ended.
void end_life(node& context, target_id const& id, std::string const& why)
{
    session_row& session = *context.sessions_.find(id);
    if (session.born_unix_ms_ != 0 || !session.runs_.empty())
    {
        log_event(context, "target_life_ended",
                  {{"target", id.str()},
                   {"runs", std::to_string(session.runs_.size())},
                   {"reason", why}});
    }
    tell(context, session, plan::target_gone{id});
    session.runs_.clear();
    session.orders_.clear();
    session.repeats_.clear();
    session.unstored_.clear();
    session.forgotten_ = 0;
    session.processed_ = 0;
    session.granted_ms_ = 0;
    session.clock_ms_ = 0;
    session.born_unix_ms_ = 0;
    session.phase_ = session_phase::silent;
}

} // namespace

void open_sessions(node& context, shard_id const& shard)
{
    for (std::size_t row = 0; row < context.sessions_.size(); ++row)
    {
        if (context.sessions_[row].shard_ == shard)
        {
            open_session(context, context.sessions_.key(row));
        }
    }
}

void close_sessions(node& context, shard_id const& shard)
{
    for (std::size_t row = 0; row < context.sessions_.size(); ++row)
    {
        session_row& session = context.sessions_[row];
        if (session.shard_ != shard || !session.open_)
        {
            continue;
        }
        session.open_ = false;
        session.runs_.clear();
        session.orders_.clear();
        session.repeats_.clear();
        session.unstored_.clear();
        session.hold_ = 0;
    }
}

void apply(node& context, target_listed const& input)
{
    target_id const& id = input.target_.id_;
    session_row&     session = context.sessions_.ensure(id);
    if (session.info_ && session.listed_ && *session.info_ == input.target_)
    {
        return;
    }
    layout_row* const layout = context.layouts_.find(input.target_.domain_);
    if (layout != nullptr && !session.info_)
    {
        layout->listed_at_ = context.now_;
    }
    bool const moved =
        session.info_ && session.info_->address_ != input.target_.address_;
    session.info_ = std::make_shared<listed_target const>(input.target_);
    session.listed_ = true;
    session.shard_ = shard_of(context, *session.info_).value_or(shard_id());
    if (!owns(context, session.shard_, owned_phase::serving))
    {
        return;
    }
    if (!session.open_)
    {
        open_session(context, id);
        return;
    }
    if (moved)
    {
        session.hold_ = 0;
        session.hold_at_ = context.now_;
    }
    tell_planner(context, id);
}

void apply(node& context, target_unlisted const& input)
{
    session_row* const session = context.sessions_.find(input.id_);
    if (session == nullptr)
    {
        return;
    }
    if (session->listed_)
    {
        session->listed_ = false;
        session->unlisted_at_ = context.now_;
    }
    if (session->open_)
    {
        tell_planner(context, input.id_);
    }
}

// 2. Clocks and leases

namespace
{

double elapsed_ms(instant since, instant now)
{
    return static_cast<double>(since.remaining_until(now)) / micros_per_milli;
}

// The target's clock now, as far as its last answer tells.
std::int64_t target_clock(session_row const& session, instant now)
{
    return session.clock_ms_ +
           static_cast<std::int64_t>(elapsed_ms(session.clock_at_, now));
}

// When the last lease that a former owner granted on a target that wasn't
// reached has lapsed. A former owner that is cut off goes on renewing, until a
// target of the shard shows it the higher epoch; so without any target in
// reach there is no such time.
instant unseen_lapse(node const& context, session_row const& session)
{
    instant const since = context.owned_.find(session.shard_)->exclusive_since_;
    return since == instant::never()
               ? since
               : since.after(longest_lease_micros(context.settings_));
}

// When no lease that was ever granted can still be running, even on a clock
// that is slow.
instant find_lapse(node const& context, session_row const& session)
{
    settings const& values = context.settings_;
    if (session.clock_ms_ == 0)
    {
        return unseen_lapse(context, session);
    }
    double const wait_ms =
        static_cast<double>(session.granted_ms_ + values.clock_slack_ms_ -
                            session.clock_ms_) /
        (1 - values.clock_drift_);
    return session.clock_at_.after(
        static_cast<std::int64_t>(wait_ms * micros_per_milli) +
        micros_per_milli);
}

// When the work of a silent target may start elsewhere. Once its leases have
// lapsed nothing runs there, but it may still list work that was done before.
// While the list of targets names it, it is alive and most likely tells soon.
instant find_give_up(node const& context, session_row const& session)
{
    instant const lapse = find_lapse(context, session);
    return session.listed_ && lapse != instant::never()
               ? count_silence_from(context, lapse)
                     .after(context.settings_.listed_wait_micros_)
               : lapse;
}

// True when the target answered the latest question, as far as is known.
bool is_answering(session_row const& session)
{
    return session.phase_ == session_phase::attached && !session.unanswered_;
}

void send_hold(node& context, target_id const& id, session_row& session)
{
    settings const& values = context.settings_;
    std::int64_t    lease = 0;
    // A target that doesn't answer is only asked, and at once: a lease that it
    // may receive late would put off the end of what runs there.
    bool const answers = is_answering(session);
    if (session.clock_ms_ != 0 && answers &&
        !may_be_released(*context.owned_.find(session.shard_)))
    {
        lease = target_clock(session, context.now_) + values.lease_ms_;
        session.granted_ms_ = std::max(session.granted_ms_, lease);
    }
    bool const         waits = answers && session.unstored_.empty();
    std::int64_t const wait_ms = waits ? values.hold_wait_ms_ : 0;
    session.hold_ = next_request(context);
    session.hold_sent_ = context.now_;
    context.outbox_.push_back(hold_target{
        .request_ = session.hold_,
        .target_ = id,
        .address_ = session.info_->address_,
        .fence_ = context.owned_.find(session.shard_)->epoch_,
        // After a silence another life may answer, whose ends have the numbers
        // of those that the earlier one may forget.
        .forgotten_ = answers ? session.forgotten_ : 0,
        .lease_clock_ms_ = lease,
        .wait_ms_ = wait_ms,
        .deadline_ = context.now_.after(wait_ms * micros_per_milli +
                                        values.hold_slack_micros_)});
}

} // namespace

// 3. Reports

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
        run_key const run = to_local(context, session.shard_, end->run_);
        session.processed_ = end->number_;
        session.runs_.erase(run);
        session.unstored_.push_back({end->number_, run.stage_.job_, 0});
        tell(context, session,
             plan::run_ended{run, id, end->end_, end->checkpoint_});
    }
}

// Runs that the target should have and doesn't report are over.
void apply_missing(node& context, session_row& session, target_id const& id,
                   std::set<run_key> const& seen, std::int64_t reply_clock_ms)
{
    std::vector<run_key> gone;
    for (auto& [key, run] : session.runs_)
    {
        if (seen.contains(key))
        {
            continue;
        }
        // A run that is being stopped may be missing before its end is listed.
        bool const stopping =
            run.stop_wanted_ || run.stopped_at_ != instant::never();
        bool const was_there =
            !stopping && run.confirmed_at_ < session.hold_sent_;
        // One that was there ends in the list; stops of slow targets take
        // long. One that never came leaves nothing behind.
        bool const stopped =
            run.stopped_at_ != instant::never() &&
            run.confirmed_at_ == instant::never() &&
            run.stopped_at_.after(context.settings_.stop_micros_) <
                session.hold_sent_;
        // The target turns down a start that comes later than this.
        run.absent_ =
            run.absent_ ||
            (!stopping && run.confirmed_at_ == instant::never() &&
             run.start_until_ms_ != 0 && run.start_until_ms_ < reply_clock_ms);
        if (was_there || stopped)
        {
            gone.push_back(key);
        }
        else if (run.absent_ ||
                 (!stopping && run.uncertain_at_ < session.hold_sent_))
        {
            // A stop also turns down a start that is still on its way.
            run.stop_wanted_ = true;
        }
    }
    for (run_key const& key : gone)
    {
        log_event(context, "run_missing",
                  {{"job", key.stage_.job_.str()},
                   {"run", std::to_string(key.run_)},
                   {"target", id.str()}});
        session.runs_.erase(key);
        tell(context, session, plan::run_ended{key, id, run_end::lost, ""});
    }
}

void apply_report(node& context, session_row& session, target_id const& id,
                  hold_reply const& reply)
{
    apply_ends(context, session, id, reply);
    std::set<run_key> seen;
    for (reported_run const& run : reply.runs_)
    {
        run_key const key = to_local(context, session.shard_, run.run_);
        seen.insert(key);
        session_run& known = session.runs_[key];
        known.confirmed_at_ = std::min(known.confirmed_at_, context.now_);
        known.uncertain_at_ = instant::never();
        known.absent_ = false;
        tell(context, session,
             plan::run_seen{key, id, run.checkpoint_, run.percent_, run.load_});
    }
    constexpr std::size_t ends_per_reply = 500;
    if (reply.ends_.size() < ends_per_reply)
    {
        apply_missing(context, session, id, seen, reply.clock_ms_);
    }
}

// A reply that shows another epoch or another life. True when it ends here.
bool apply_mismatch(node& context, session_row& session, target_id const& id,
                    target_outcome outcome)
{
    if (outcome == target_outcome::superseded)
    {
        drop_shard(context, session.shard_, "a target obeys a higher epoch");
        return true;
    }
    if (outcome == target_outcome::replaced)
    {
        end_life(context, id, "another life answers at its address");
        constexpr std::int64_t replaced_micros = 500'000;
        session.hold_at_ = context.now_.after(replaced_micros);
        return true;
    }
    return false;
}

// A target obeys this owner, so a former one learns of it with its next call.
void note_reached(node& context, shard_id const& shard)
{
    owned_row& own = *context.owned_.find(shard);
    own.exclusive_since_ =
        std::min(own.exclusive_since_,
                 context.now_.after(context.settings_.fence_notice_micros_));
}

// Tells the observer how late a reply is judged, before it is applied.
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
        // The reply may have waited for this tick while the clock went on.
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
            wake_at(context, context.now_); // it may be claimed now
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
        if (session->phase_ == session_phase::attached &&
            count_silence_from(context, session->contact_at_)
                    .remaining_until(context.now_) > values.silent_micros_)
        {
            mark_silent(context, input.target_, input.error_);
        }
        return;
    }
    if (session->born_unix_ms_ != 0 && input.born_unix_ms_ != 0 &&
        session->born_unix_ms_ != input.born_unix_ms_)
    {
        end_life(context, input.target_, "started again");
    }
    bool const first = session->phase_ != session_phase::attached;
    session->born_unix_ms_ = input.born_unix_ms_;
    session->clock_ms_ = input.clock_ms_;
    session->clock_at_ = context.now_;
    session->contact_at_ = context.now_;
    if (first)
    {
        session->lapsed_ = false;
        session->phase_ = session_phase::attached;
        tell_planner(context, input.target_);
        note_reached(context, session->shard_);
    }
    apply_report(context, *session, input.target_, input);
    bool const stored = session->unstored_.empty();
    // While the target lists ends it answers at once, so the next question
    // waits until their effect is stored and they may be forgotten.
    session->hold_at_ = !leased || stored
                            ? context.now_
                            : context.now_.after(values.hold_unstored_micros_);
}

// 4. Orders

namespace
{

// False when the start of the run was sent, or there is none.
bool drop_unsent_start(session_row& session, run_key const& run)
{
    std::deque<plan::command> kept;
    for (plan::command& order : session.orders_)
    {
        auto const* const start = std::get_if<plan::start_run>(&order);
        if (start == nullptr || start->run_ != run)
        {
            kept.push_back(std::move(order));
        }
    }
    bool const dropped = kept.size() < session.orders_.size();
    session.orders_ = std::move(kept);
    return dropped;
}

struct enqueue
{
    node&        context_;
    session_row* session_;

    void operator()(plan::start_run const& order) const
    {
        session_->runs_[order.run_] = session_run();
        session_->orders_.push_back(order);
    }

    void operator()(plan::stop_run const& order) const
    {
        if (drop_unsent_start(*session_, order.run_))
        {
            // It was never sent, so there is nothing to stop.
            session_->runs_.erase(order.run_);
            tell(context_, *session_,
                 plan::run_ended{order.run_, order.target_, run_end::lost, ""});
            return;
        }
        session_->runs_[order.run_].stop_wanted_ = true;
    }

    void operator()(plan::pace_run const& order) const
    {
        session_->orders_.push_back(order);
    }

    template <typename Other>
    void operator()(Other const& /*order*/) const
    {
    }
};

target_id const& target_of(plan::command const& order)
{
    if (auto const* const start = std::get_if<plan::start_run>(&order))
    {
        return start->target_;
    }
    if (auto const* const stop = std::get_if<plan::stop_run>(&order))
    {
        return stop->target_;
    }
    return std::get<plan::pace_run>(order).target_;
}

} // namespace

void queue_order(node& context, shard_id const& shard,
                 plan::command const& order)
{
    session_row* const session = context.sessions_.find(target_of(order));
    if (session == nullptr || !session->open_ || session->shard_ != shard)
    {
        return;
    }
    std::visit(enqueue{context, session}, order);
}

namespace
{

std::uint64_t open_order(node& context, session_row& session,
                         order_row const& order)
{
    std::uint64_t const request = next_request(context);
    context.orders_.ensure(request) = order;
    ++session.open_orders_;
    return request;
}

// Sends a start, with a deadline of its own.
void post_start(node& context, session_row& session, run_key const& run,
                send_start const& start, bool repeated)
{
    auto const sent = std::make_shared<send_start const>(send_start{
        .request_ = next_request(context),
        .address_ = start.address_,
        .start_ = start.start_,
        .fence_ = start.fence_,
        .lease_clock_ms_ = start.lease_clock_ms_,
        .deadline_ = context.now_.after(context.settings_.order_micros_)});
    context.outbox_.push_back(*sent);
    context.orders_.ensure(sent->request_) = {.kind_ = order_kind::start,
                                              .target_ = start.start_.target_,
                                              .run_ = run,
                                              .start_ = sent,
                                              .repeated_ = repeated};
    ++session.open_orders_;
}

void send_order(node& context, target_id const& id, session_row& session,
                plan::command const& order)
{
    settings const& values = context.settings_;
    epoch const     fence = context.owned_.find(session.shard_)->epoch_;
    instant const   deadline = context.now_.after(values.order_micros_);
    if (auto const* const start = std::get_if<plan::start_run>(&order))
    {
        std::int64_t const useless =
            target_clock(session, context.now_) + values.start_valid_ms_;
        session.granted_ms_ = std::max(session.granted_ms_, useless);
        session.runs_[start->run_].start_until_ms_ = useless;
        post_start(context, session, start->run_,
                   {.address_ = session.info_->address_,
                    .start_ = {.run_ = to_original(context, start->run_),
                               .target_ = id,
                               .job_ = start->job_,
                               .checkpoint_ = start->checkpoint_,
                               .ticket_ = start->ticket_},
                    .fence_ = fence,
                    .lease_clock_ms_ = useless},
                   false);
        return;
    }
    auto const& pace = std::get<plan::pace_run>(order);
    context.outbox_.push_back(
        send_pace{.request_ = open_order(context, session,
                                         {order_kind::pace, id, pace.run_}),
                  .address_ = session.info_->address_,
                  .pace_ = {to_original(context, pace.run_), id, pace.percent_},
                  .fence_ = fence,
                  .deadline_ = deadline});
}

void send_stops(node& context, target_id const& id, session_row& session)
{
    for (auto& [key, run] : session.runs_)
    {
        if (!run.stop_wanted_ || run.stop_open_ ||
            run.stopped_at_ != instant::never())
        {
            continue;
        }
        if (run.stop_after_ > context.now_)
        {
            wake_at(context, run.stop_after_);
            continue;
        }
        run.stop_open_ = true;
        context.outbox_.push_back(send_stop{
            .request_ =
                open_order(context, session, {order_kind::stop, id, key}),
            .address_ = session.info_->address_,
            .stop_ = {to_original(context, key), id},
            .fence_ = context.owned_.find(session.shard_)->epoch_,
            .deadline_ = context.now_.after(context.settings_.order_micros_)});
    }
}

void confirm_start(node& context, session_row& session, order_row const& order)
{
    auto const run = session.runs_.find(order.run_);
    if (run != session.runs_.end())
    {
        run->second.confirmed_at_ = context.now_;
    }
    tell(context, session, plan::run_confirmed{order.run_, order.target_});
}

void refuse_start(node& context, session_row& session, order_row const& order,
                  order_reply const& reply)
{
    session.runs_.erase(order.run_);
    log_event(context, "start_refused",
              {{"job", order.run_.stage_.job_.str()},
               {"run", std::to_string(order.run_.run_)},
               {"target", order.target_.str()},
               {"reason", std::to_string(static_cast<int>(reply.reason_))}});
    tell(context, session,
         plan::run_refused{order.run_, order.target_, reply.reason_});
}

void leave_start_open(node& context, session_row& session,
                      order_row const& order, std::string const& why)
{
    auto const run = session.runs_.find(order.run_);
    if (run != session.runs_.end())
    {
        run->second.uncertain_at_ = context.now_;
    }
    log_event(context, "start_uncertain",
              {{"job", order.run_.stage_.job_.str()},
               {"run", std::to_string(order.run_.run_)},
               {"target", order.target_.str()},
               {"error", why}});
}

// True when a refused start may have run all the same: a run as high was there,
// so the order arrived twice, or an earlier sending of it got no answer.
bool may_have_run(order_row const& order, order_reply const& reply)
{
    return order.repeated_ || reply.reason_ == plan::refusal::outdated;
}

void end_start(node& context, session_row& session, order_row const& order,
               order_reply const& reply)
{
    if (reply.outcome_ == target_outcome::done)
    {
        confirm_start(context, session, order);
    }
    else if (reply.outcome_ == target_outcome::refused &&
             !may_have_run(order, reply))
    {
        refuse_start(context, session, order, reply);
    }
    else if (reply.outcome_ == target_outcome::unknown)
    {
        session.repeats_.push_back(order);
    }
    else
    {
        leave_start_open(context, session, order, "refused, but may have run");
    }
}

void end_stop(node& context, session_row& session, order_row const& order,
              order_reply const& reply)
{
    auto const run = session.runs_.find(order.run_);
    if (run == session.runs_.end())
    {
        return;
    }
    run->second.stop_open_ = false;
    if (reply.outcome_ == target_outcome::done && run->second.absent_)
    {
        // It hadn't begun when no start could come any more.
        session.runs_.erase(run);
        tell(context, session,
             plan::run_ended{order.run_, order.target_, run_end::lost, ""});
        return;
    }
    if (reply.outcome_ == target_outcome::done)
    {
        run->second.stopped_at_ = context.now_;
        return;
    }
    run->second.stop_after_ =
        context.now_.after(context.settings_.hold_retry_micros_);
}

void end_pace(node& context, session_row& /*session*/, order_row const& order,
              order_reply const& reply)
{
    if (reply.outcome_ != target_outcome::done)
    {
        log_event(context, "pace_failed",
                  {{"target", order.target_.str()}, {"error", reply.error_}});
    }
}

// In the order of `order_kind`.
constexpr std::array<
    void (*)(node&, session_row&, order_row const&, order_reply const&), 3>
    order_ends = {&end_start, &end_stop, &end_pace};

} // namespace

void apply(node& context, order_reply const& input)
{
    order_row const* const found = context.orders_.find(input.request_);
    if (found == nullptr)
    {
        return;
    }
    order_row const order = *found;
    context.orders_.remove(input.request_);
    session_row* const session = context.sessions_.find(order.target_);
    if (session == nullptr || !session->open_)
    {
        return;
    }
    session->open_orders_ -= session->open_orders_ > 0 ? 1 : 0;
    if (!apply_mismatch(context, *session, order.target_, input.outcome_))
    {
        order_ends.at(static_cast<std::size_t>(order.kind_))(context, *session,
                                                             order, input);
    }
}

// 5. Ticks

namespace
{

// Ends whose effect is stored may be forgotten by the target. Only for sessions
// with ends that aren't stored.
void advance_forgotten(node& context, session_row& session)
{
    while (!session.unstored_.empty())
    {
        unstored_end&     end = session.unstored_.front();
        record_row const* record = context.records_.find(end.job_);
        if (end.sequence_ == 0 ||
            (record != nullptr && record->saved_ < end.sequence_))
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

// The planners have run, so the changes that hold the effects of new ends are
// known now.
void number_ends(node& context, session_row& session)
{
    owned_row const* const own = context.owned_.find(session.shard_);
    if (own == nullptr || own->plan_needed_)
    {
        return; // the planner hasn't seen the latest ends yet
    }
    for (unstored_end& end : session.unstored_)
    {
        record_row const* const record = context.records_.find(end.job_);
        if (end.sequence_ == 0)
        {
            // Ends of jobs that aren't known any more wait for nothing.
            end.sequence_ = record == nullptr
                                ? 1
                                : std::max<std::uint64_t>(1, record->changed_);
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

// Starts that wait for a silent target were never sent, so they may go to
// another one at once. Other orders wait for the target.
void take_back_starts(node& context, target_id const& id, session_row& session)
{
    std::deque<plan::command> others;
    for (plan::command& order : session.orders_)
    {
        auto const* const start = std::get_if<plan::start_run>(&order);
        if (start == nullptr)
        {
            others.push_back(std::move(order));
            continue;
        }
        session.runs_.erase(start->run_);
        tell(context, session,
             plan::run_ended{start->run_, id, run_end::lost, ""});
    }
    session.orders_ = std::move(others);
}

// Tasks that last, or may have copies, have no result for which a silent target
// must be awaited: they start elsewhere as soon as nothing can run there.
void end_lapsed_runs(node& context, target_id const& id, session_row& session)
{
    std::vector<run_key> lapsed;
    for (auto const& [key, run] : session.runs_)
    {
        if (!has_single_result(context, key))
        {
            lapsed.push_back(key);
        }
    }
    for (run_key const& key : lapsed)
    {
        session.runs_.erase(key);
        tell(context, session, plan::run_ended{key, id, run_end::lapsed, ""});
    }
}

// Ends may be left on a silent target after the lapse, but no runs.
void settle_lapse(node& context, target_id const& id, instant give_up)
{
    session_row&  session = *context.sessions_.find(id);
    instant const lapse = find_lapse(context, session);
    if (session.lapsed_ || lapse > context.now_)
    {
        wake_at(context, session.lapsed_ ? instant::never() : lapse);
        return;
    }
    session.lapsed_ = true;
    if (!session.runs_.empty())
    {
        log_event(
            context, "leases_lapsed",
            {{"target", id.str()},
             {"runs", std::to_string(session.runs_.size())},
             {"listed", session.listed_ ? "true" : "false"},
             {"held_ms", std::to_string(context.now_.remaining_until(give_up) /
                                        micros_per_milli)}});
    }
    end_lapsed_runs(context, id, session);
    tell_planner(context, id);
}

// True while a start without an answer is of use: the target is in reach at the
// address that it was sent to, and still takes it.
bool may_repeat(node const& context, session_row const& session,
                order_row const& order)
{
    send_start const& start = *order.start_;
    return is_answering(session) && session.info_->address_ == start.address_ &&
           target_clock(session, context.now_) < start.lease_clock_ms_ &&
           !may_be_released(*context.owned_.find(session.shard_));
}

// A start without an answer is sent again under its number: the target takes it
// for the same run, whether it has begun or not. Not before the deadline of the
// last sending, since a target that is gone refuses connections at once.
void send_repeats(node& context, session_row& session)
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
        if (!may_repeat(context, session, order))
        {
            leave_start_open(context, session, order, "no answer");
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

// False when the session was removed.
bool settle_silent_target(node& context, target_id const& id)
{
    session_row&  session = *context.sessions_.find(id);
    instant const give_up = find_give_up(context, session);
    take_back_starts(context, id, session);
    settle_lapse(context, id, give_up);
    if (give_up > context.now_)
    {
        wake_at(context, give_up);
        return true;
    }
    if (session.phase_ == session_phase::attaching)
    {
        session.phase_ = session_phase::silent;
        tell_planner(context, id);
    }
    if (!session.runs_.empty())
    {
        if (context.observer_ != nullptr)
        {
            context.observer_->lapse_lease(id);
        }
        end_life(context, id, "its leases have lapsed");
    }
    if (!session.listed_)
    {
        tell(context, session, plan::target_gone{id});
        context.sessions_.remove(id);
        return false;
    }
    return true;
}

// Only for targets that left the list. One that is cut off does so and runs on,
// so whoever takes its shard over has to reach it or to wait.
void forget_unlisted(node& context, target_id const& id,
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

} // namespace

void keep_sessions(node& context)
{
    // Backwards, since a removal moves the last row into the gap.
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
            forget_unlisted(context, id, *session);
            continue;
        }
        // Most targets are attached and have no ends, so that the tick looks
        // nothing up for them.
        if (!session->unstored_.empty())
        {
            number_ends(context, *session);
            advance_forgotten(context, *session);
        }
        // A late owner waits with the judgement that a target is silent, but
        // its leases lapse by the clock of the target.
        if (session->phase_ == session_phase::attached &&
            session->unanswered_ &&
            find_lapse(context, *session) <= context.now_)
        {
            mark_silent(context, id, "its leases have lapsed");
        }
        if (session->phase_ != session_phase::attached &&
            !settle_silent_target(context, id))
        {
            continue;
        }
        send_stops(context, id, *session);
        if (!session->repeats_.empty())
        {
            send_repeats(context, *session);
        }
        while (session->phase_ == session_phase::attached &&
               session->open_orders_ < context.settings_.orders_open_ &&
               !session->orders_.empty() &&
               !may_be_released(*context.owned_.find(session->shard_)))
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
}

} // namespace fescuevane::cell
