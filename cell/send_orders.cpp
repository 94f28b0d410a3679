// Purpose: sends start, stop and pace orders to targets and handles the
// replies.
#include "cell/sessions.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fescuevane::cell
{

namespace
{

// Returns false when the start of the run was sent already, or there is none.
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
            // The start was never sent, so there is nothing to stop.
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

std::uint64_t register_order(node& context, session_row& session,
                             order_row const& order)
{
    std::uint64_t const request = next_request(context);
    order_row&          row = context.orders_.ensure(request);
    row = order;
    row.least_clock_ms_ =
        find_least_clock(context.settings_, session, context.now_);
    ++session.open_orders_;
    return request;
}

} // namespace

// Sends a start. Each attempt has a deadline of its own.
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
    context.orders_.ensure(sent->request_) = {
        .kind_ = order_kind::start,
        .target_ = start.start_.target_,
        .run_ = run,
        .start_ = sent,
        .repeated_ = repeated,
        .least_clock_ms_ =
            find_least_clock(context.settings_, session, context.now_)};
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
        std::int64_t const valid_until_ms =
            target_clock(session, context.now_) + values.start_valid_ms_;
        session.granted_ms_ = std::max(session.granted_ms_, valid_until_ms);
        session.runs_[start->run_].start_until_ms_ = valid_until_ms;
        post_start(context, session, start->run_,
                   {.address_ = session.info_->address_,
                    .start_ = {.run_ = to_original(context, start->run_),
                               .target_ = id,
                               .job_ = start->job_,
                               .checkpoint_ = start->checkpoint_,
                               .ticket_ = start->ticket_},
                    .fence_ = fence,
                    .lease_clock_ms_ = valid_until_ms},
                   false);
        return;
    }
    auto const& pace = std::get<plan::pace_run>(order);
    context.outbox_.push_back(
        send_pace{.request_ = register_order(context, session,
                                             {order_kind::pace, id, pace.run_}),
                  .address_ = session.info_->address_,
                  .pace_ = {to_original(context, pace.run_), id, pace.percent_},
                  .fence_ = fence,
                  .deadline_ = deadline});
}

void send_stops(node& context, target_id const& id, session_row& session)
{
    // A releasing owner waits until its stops are over, so it orders no more.
    owned_row const& own = *context.owned_.find(session.shard_);
    if (own.releasing_ || may_be_released(own))
    {
        return;
    }
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
        run.stop_sent_ = true;
        run.stop_open_ = true;
        context.outbox_.push_back(send_stop{
            .request_ =
                register_order(context, session, {order_kind::stop, id, key}),
            .address_ = session.info_->address_,
            .stop_ = {to_original(context, key), id},
            .fence_ = own.epoch_,
            .deadline_ = context.now_.after(context.settings_.order_micros_)});
    }
}

namespace
{

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

} // namespace

void mark_start_uncertain(node& context, session_row& session,
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

namespace
{

// True when a refused start may have run all the same: the target had a run
// with the same or a higher number, so the order arrived twice, or an earlier
// attempt got no reply.
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
        record_late_start(context, session, order.run_, *order.start_);
        session.repeats_.push_back(order);
        auto const run = session.runs_.find(order.run_);
        if (run != session.runs_.end())
        {
            run->second.reaches_later_until_ = std::max(
                run->second.reaches_later_until_, order.start_->deadline_);
        }
    }
    else
    {
        mark_start_uncertain(context, session, order,
                             "refused, but may have run");
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
        // The run hadn't begun at a time after which the target accepts no
        // start.
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

// Indexed by `order_kind`.
constexpr std::array<
    void (*)(node&, session_row&, order_row const&, order_reply const&), 3>
    order_reply_handlers = {&end_start, &end_stop, &end_pace};

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
        order_reply_handlers.at(static_cast<std::size_t>(order.kind_))(
            context, *session, order, input);
        // A target that doesn't reply to a start may be down, and come back as
        // another incarnation.
        if ((order.kind_ == order_kind::start &&
             input.outcome_ == target_outcome::unknown) ||
            shows_restart(order, input))
        {
            doubt_incarnation(context, *session, order, input);
        }
    }
}

} // namespace fescuevane::cell
