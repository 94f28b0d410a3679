// Purpose: system: sends the requests to the policy service that this host
// holds, for itself and for other hosts, and gives up on those whose sender is
// lost.
//
// The service handles the requests of a host in the order in which they arrive.
// Requests are held here instead, so that short ones pass long ones.
#include "cell/node.hpp"

#include "cell/order_questions.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace fescuevane::cell
{
namespace
{

bool is_long(node const& context, held_question_row const& held)
{
    return held.question_->service_micros_ >
           context.settings_.advice_owner_micros_;
}

bool is_overdue(node const& context, held_question_row const& held)
{
    return is_long(context, held) && held.ends_at_ == instant::never() &&
           std::max(held.held_at_, context.long_sent_at_)
                   .after(context.settings_.advice_max_hold_micros_) <=
               context.now_;
}

void fail_question(node& context, std::uint64_t request,
                   std::string const& error)
{
    apply(context, advice_reply{.request_ = request, .error_ = error});
}

// The requesting host has given up on them.
void drop_expired(node& context)
{
    std::vector<std::uint64_t> expired;
    for (std::size_t row = 0; row < context.held_questions_.size(); ++row)
    {
        held_question_row const& held = context.held_questions_[row];
        instant const            deadline = held.question_->deadline_;
        if (held.ends_at_ != instant::never())
        {
            continue; // its own deadline ends it
        }
        if (deadline <= context.now_)
        {
            expired.push_back(context.held_questions_.key(row));
        }
        else
        {
            wake_at(context, deadline);
        }
    }
    for (std::uint64_t const request : expired)
    {
        fail_question(context, request, "held past its deadline");
    }
}

void send_held(node& context)
{
    std::vector<std::uint64_t> requests = context.held_questions_.keys();
    std::sort(requests.begin(), requests.end());
    std::vector<pooled_question> questions;
    for (std::uint64_t const request : requests)
    {
        held_question_row const& held = *context.held_questions_.find(request);
        questions.push_back({is_long(context, held),
                             held.ends_at_ != instant::never(),
                             is_overdue(context, held)});
    }
    for (std::size_t const at : choose_sendable(questions))
    {
        held_question_row& held = *context.held_questions_.find(requests[at]);
        held.ends_at_ = context.now_.after(held.question_->service_micros_);
        if (is_long(context, held))
        {
            context.long_sent_at_ = context.now_;
        }
        context.outbox_.push_back(send_question{
            .request_ = requests[at],
            .question_ = held.question_->question_,
            .deadline_ = std::min(
                held.question_->deadline_,
                held.ends_at_.after(context.settings_.advice_slack_micros_)),
            .service_micros_ = held.question_->service_micros_});
    }
}

// Without this a request in the hands of a host that died or is cut off would
// block its step until the deadline of the call, more than 4 s.
void fail_lost(node& context)
{
    std::vector<std::uint64_t> lost;
    for (std::size_t row = 0; row < context.questions_.size(); ++row)
    {
        host_id const& proxy = context.questions_[row].proxy_;
        if (proxy == context.settings_.host_)
        {
            continue;
        }
        host_row const* const host = context.hosts_.find(proxy);
        if (host == nullptr || is_unresponsive(context, host->heard_at_))
        {
            lost.push_back(context.questions_.key(row));
        }
        else
        {
            wake_at(context, count_silence_from(context, host->heard_at_)
                                 .after(context.settings_.suspect_micros_ + 1));
        }
    }
    for (std::uint64_t const request : lost)
    {
        fail_question(context, request, "the asking host doesn't respond");
    }
}

} // namespace

void ask_policy_service(node& context)
{
    if (!context.settings_.advice_pool_)
    {
        return;
    }
    fail_lost(context);
    if (!context.held_questions_.empty())
    {
        drop_expired(context);
        send_held(context);
    }
}

void hold_question(node& context, std::uint64_t call, send_question question)
{
    std::uint64_t const request =
        call == 0 ? question.request_ : next_request(context);
    context.held_questions_.ensure(request) = {
        call, std::make_shared<send_question const>(std::move(question)),
        context.now_};
}

std::int64_t find_advice_backlog(node const& context)
{
    std::int64_t micros = 0;
    for (held_question_row const& held : context.held_questions_)
    {
        if (held.ends_at_ == instant::never())
        {
            micros += held.question_->service_micros_;
            continue;
        }
        // An overdue one is expected to take as long again.
        micros += context.now_.remaining_until(held.ends_at_) +
                  held.ends_at_.remaining_until(context.now_);
    }
    return micros;
}

void apply(node& context, question_received const& input)
{
    hold_question(context, input.call_, input.question_);
}

} // namespace fescuevane::cell
