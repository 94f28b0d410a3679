// Purpose: system and events: routes client calls to the owners of shards.
//
// A submission may be tried at several shards: the row of a job is unique, so a
// second attempt finds the first one. A rejection is final only if no attempt
// can have been stored.
//
// Index of sections
//   1. Choice of a shard
//   2. Replies
//   3. Ticks
#include "cell/node.hpp"

#include "cell/record_error.hpp"
#include "cell/records.hpp"
#include "cell/route_job.hpp"
#include "core/hashing.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

// 1. Choice of a shard

namespace
{

bool has_owner(node const& context, shard_id const& id, shard_row const& shard)
{
    if (owns(context, id, owned_phase::fencing))
    {
        return true;
    }
    return shard.epoch_ > 0 && !shard.address_.empty() &&
           shard.owner_ != context.settings_.host_ && !shard.released_ &&
           !is_unresponsive(context, shard.confirmed_at_);
}

bool takes_jobs(node const& context, shard_id const& id, shard_row const& shard)
{
    if (!has_owner(context, id, shard) || context.out_.contains(id.domain_))
    {
        return false;
    }
    if (owns(context, id, owned_phase::serving))
    {
        return context.store_ok_ && !context.owned_.find(id)->releasing_;
    }
    host_row const* const host = context.hosts_.find(shard.owner_);
    return shard.serving_ && (host == nullptr || host->store_ok_);
}

// A stopping owner serves its shard only while no other host can.
bool is_owner_stopping(node const& context, shard_row const& shard)
{
    host_row const* const host = context.hosts_.find(shard.owner_);
    return shard.owner_ == context.settings_.host_
               ? context.stopping_
               : host != nullptr && host->stopping_;
}

// Gangs, labels and rack affinity need targets that not every shard has.
bool has_placement_constraint(step_spec const& step)
{
    return step.gang_ || !step.required_label_.empty() ||
           !step.near_rack_.empty();
}

// Shards that can't run a step of the job, and would have to delegate it. They
// are chosen last.
std::set<shard_id> list_deprioritized(node const&       context,
                                      staged_job const& job)
{
    std::set<shard_id> deprioritized;
    for (step_spec const& step : job.steps_)
    {
        if (has_placement_constraint(step))
        {
            deprioritized.merge(list_unfit_shards(context, job.service_, step));
        }
    }
    return deprioritized;
}

// What this host sent to the shard since its owner's latest heartbeat.
resources sum_sent_work(node const& context, shard_id const& shard)
{
    resources sum;
    for (sent_work const& sent : context.sent_work_)
    {
        if (sent.shard_ == shard)
        {
            sum = sum + sent.demand_;
        }
    }
    return sum;
}

std::optional<shard_id> choose_shard(node const& context, call_row const& call)
{
    std::set<shard_id> const deprioritized =
        list_deprioritized(context, *call.job_);
    constexpr double          unfit_cost = 1000; // above any load
    constexpr double          stopping_cost = 2 * unfit_cost;
    std::vector<route_option> options;
    for (std::size_t row = 0; row < context.shards_.size(); ++row)
    {
        shard_id const&  id = context.shards_.key(row);
        shard_row const& shard = context.shards_[row];
        if (call.tried_.contains(id) || !takes_jobs(context, id, shard))
        {
            continue;
        }
        options.push_back(
            {.shard_ = id,
             .remote_ = id.domain_ != context.settings_.domain_,
             .penalty_ =
                 (deprioritized.contains(id) ? unfit_cost : 0) +
                 (is_owner_stopping(context, shard) ? stopping_cost : 0),
             .demand_ = {.capacity_ = shard.load_.capacity_,
                         .wanted_ = shard.load_.used_ + shard.load_.queued_,
                         .sent_ = sum_sent_work(context, id),
                         .freed_ = shard.load_.freed_a_second_}});
    }
    return choose_route(
        context.settings_.route_by_wait_ ? route_by_wait : route_by_load,
        {call.id_, sum_first_demand(*call.job_), context.settings_}, options);
}

} // namespace

std::optional<shard_id> find_return_shard(node const&   context,
                                          job_id const& job)
{
    std::optional<shard_id> best;
    std::uint64_t           best_hash = 0;
    for (std::size_t row = 0; row < context.shards_.size(); ++row)
    {
        shard_id const& id = context.shards_.key(row);
        if (!takes_jobs(context, id, context.shards_[row]))
        {
            continue;
        }
        std::uint64_t const hash = compute_stable_hash(
            write_shard_name(id) + "/" + job.str(), id.index_);
        if (!best || std::pair(hash, id) > std::pair(best_hash, *best))
        {
            best = id;
            best_hash = hash;
        }
    }
    return best;
}

namespace
{

// Shard of a job, or the one where it was most likely submitted.
std::optional<shard_id> find_place(node const& context, call_row const& call)
{
    if (context.records_.contains(call.id_))
    {
        return context.records_.find(call.id_)->shard_;
    }
    auto const place = context.job_locations_.find(call.id_);
    if (place != context.job_locations_.end())
    {
        return place->second;
    }
    // With several shards, the job's row is read from the store instead, which
    // is faster than trying one shard after another, unless the store is down.
    domain_id const&    domain = context.settings_.domain_;
    std::uint32_t const shards = count_shards(context, domain);
    for (std::uint32_t index = 0; index < shards; ++index)
    {
        shard_id const         own{domain, index};
        shard_row const* const row = context.shards_.find(own);
        if ((shards == 1 || !context.store_ok_) && !call.tried_.contains(own) &&
            row != nullptr && has_owner(context, own, *row))
        {
            return own;
        }
    }
    return std::nullopt;
}

} // namespace

// 2. Replies

namespace
{

void finish_call(node& context, std::uint64_t id, job_answer const& answer)
{
    if (context.calls_.remove(id) && !end_delegate_call(context, id, answer))
    {
        context.outbox_.push_back(answer_call{id, answer});
    }
}

// No attempt is left before the deadline. The reply must not claim more than
// is known: `uncertain` if an attempt may have succeeded.
void fail_call(node& context, std::uint64_t id)
{
    call_row const& call = *context.calls_.find(id);
    job_answer      answer{.outcome_ = job_outcome::unavailable,
                           .retry_after_ms_ = context.settings_.retry_after_ms_};
    if (call.may_have_succeeded_ || (call.overload_ && !call.row_absent_))
    {
        answer = {.outcome_ = job_outcome::uncertain};
    }
    else if (call.overload_)
    {
        answer = *call.overload_;
    }
    log_event(context, "call_refused",
              {{"job", call.id_.str()},
               {"kind", std::to_string(static_cast<int>(call.kind_))},
               {"outcome", std::to_string(static_cast<int>(answer.outcome_))},
               {"tried", std::to_string(call.tried_.size())},
               {"store", context.store_ok_ ? "ok" : "lost"}});
    finish_call(context, id, answer);
}

void retry_call_at(node& context, std::uint64_t id, call_row& call, instant due)
{
    call.request_ = 0;
    call.retry_at_ = due;
    context.calls_due_.add(due, id);
}

void retry_call(node& context, std::uint64_t id, call_row& call)
{
    retry_call_at(context, id, call,
                  context.now_.after(context.settings_.route_retry_micros_));
}

void locate_job(node& context, std::uint64_t id, call_row& call)
{
    std::uint64_t const request = next_request(context);
    call.request_ = request;
    context.requests_.ensure(request) = {
        .kind_ = request_kind::locate, .call_ = id, .sent_ = context.now_};
    context.outbox_.push_back(store_read{
        .request_ = request,
        .table_ = "job",
        .part_ = std::to_string(part_of(context, call.id_)),
        .from_ = call.id_.str(),
        .to_ = call.id_.str() + "!",
        .deadline_ = std::min(store_deadline(context), call.deadline_)});
}

// Counts a submission until the owner's load includes it, or it was refused.
void note_sent_work(node& context, call_row const& call, shard_id const& shard)
{
    if (!context.settings_.route_by_wait_ || call.kind_ != call_kind::submit)
    {
        return;
    }
    context.sent_work_.push_back({.shard_ = shard,
                                  .job_ = call.id_,
                                  .demand_ = sum_first_demand(*call.job_),
                                  .reported_from_ = context.now_.after(
                                      context.settings_.submit_micros_)});
}

void forward_call(node& context, std::uint64_t id, shard_id const& shard,
                  call_kind kind)
{
    call_row& call = *context.calls_.find(id);
    note_sent_work(context, call, shard);
    // An owner without a reply in this time is replaced by another one.
    constexpr std::int64_t forward_timeout_micros = 1'500'000;
    job_call const         forwarded{
                .kind_ = kind,
                .id_ = call.id_,
                .shard_ = shard,
                .job_ = call.job_,
                .deadline_ = std::min(call.deadline_,
                                      context.now_.after(forward_timeout_micros))};
    call.shard_ = shard;
    call.request_ = next_request(context);
    if (context.owned_.contains(shard))
    {
        serve_call(context, {false, id}, forwarded);
        return;
    }
    context.passed_[call.request_] = id;
    context.outbox_.push_back(call_peer{
        call.request_, context.shards_.find(shard)->address_, forwarded});
}

// The job was canceled before it was submitted: there is no such job, and there
// will be none.
void end_withdrawn_call(node& context, std::uint64_t id, call_row const& call)
{
    if (call.kind_ != call_kind::submit)
    {
        finish_call(context, id, {.outcome_ = job_outcome::absent});
        return;
    }
    log_event(context, "submission_withdrawn", {{"job", call.id_.str()}});
    finish_call(context, id,
                {.outcome_ = job_outcome::withdrawn,
                 .retry_after_ms_ =
                     context.settings_.result_keep_micros_ / micros_per_milli});
}

} // namespace

void apply_answer(node& context, std::uint64_t id, job_answer const& answer)
{
    call_row* const call = context.calls_.find(id);
    if (call == nullptr)
    {
        return;
    }
    shard_id const called_shard = *call->shard_;
    // After an uncertain attempt the shard may have the job.
    if (answer.outcome_ != job_outcome::accepted &&
        answer.outcome_ != job_outcome::uncertain)
    {
        std::erase_if(context.sent_work_,
                      [&](sent_work const& sent)
                      {
                          return sent.job_ == call->id_ &&
                                 sent.shard_ == called_shard;
                      });
    }
    switch (answer.outcome_)
    {
    case job_outcome::accepted:
    case job_outcome::known:
    case job_outcome::canceled:
        record_job_location(context, call->id_, called_shard);
        finish_call(context, id, answer);
        break;
    case job_outcome::withdrawn:
        end_withdrawn_call(context, id, *call);
        break;
    case job_outcome::absent:
        context.job_locations_.erase(call->id_);
        call->tried_.insert(called_shard);
        retry_call(context, id, *call);
        if (call->located_ || !context.store_ok_)
        {
            break; // its owner is changing, or the store can't be asked
        }
        locate_job(context, id, *call);
        break;
    case job_outcome::uncertain:
        call->may_have_succeeded_ = true;
        call->tried_.insert(called_shard);
        retry_call(context, id, *call);
        break;
    case job_outcome::overloaded:
        if (!call->overload_ ||
            find_return_shard(context, call->id_) == called_shard)
        {
            call->overload_ = answer;
        }
        call->tried_.insert(called_shard);
        retry_call_at(context, id, *call, context.now_);
        break;
    case job_outcome::unavailable:
        call->refusal_ = answer;
        call->tried_.insert(called_shard);
        if (call->kind_ == call_kind::submit)
        {
            // Another shard may accept it.
            retry_call_at(context, id, *call, context.now_);
        }
        else if (call->withdrawing_)
        {
            fail_call(context, id); // no shard can store the cancel now
        }
        else
        {
            retry_call(context, id, *call);
        }
        break;
    case job_outcome::not_owner:
        context.shards_.find(called_shard)->serving_ = false;
        retry_call(context, id, *call);
        break;
    }
    wake_at(context, context.now_);
}

namespace
{

// The store has no row of the job. A cancel is acknowledged only once a row
// rejects submissions that arrive later, except for that of a delegate, whose
// shard stores such a row itself.
void end_absent(node& context, std::uint64_t id, call_row& call)
{
    if (call.kind_ == call_kind::submit)
    {
        call.row_absent_ = true;
        fail_call(context, id);
        return;
    }
    if (call.kind_ == call_kind::lookup || context.delegate_calls_.contains(id))
    {
        finish_call(context, id, {.outcome_ = job_outcome::absent});
        return;
    }
    std::optional<shard_id> const shard = find_return_shard(context, call.id_);
    if (!shard)
    {
        fail_call(context, id);
        return;
    }
    call.withdrawing_ = true;
    forward_call(context, id, *shard, call_kind::cancel_absent);
}

} // namespace

void end_locate(node& context, request_row const& request,
                store_reply const& reply)
{
    call_row* const call = context.calls_.find(request.call_);
    if (call == nullptr)
    {
        return;
    }
    if (reply.outcome_ != store_outcome::done)
    {
        retry_call(context, request.call_, *call);
        if (reply.outcome_ == store_outcome::not_done)
        {
            fail_call(context, request.call_);
        }
        return;
    }
    if (reply.rows_.empty())
    {
        end_absent(context, request.call_, *call);
        return;
    }
    try
    {
        job_record const record = read_job(reply.rows_.front().value_);
        if (record.progress_.withdrawn_)
        {
            end_withdrawn_call(context, request.call_, *call);
            return;
        }
        if (call->kind_ == call_kind::submit)
        {
            record_job_location(context, call->id_, record.shard_);
            finish_call(context, request.call_,
                        {.outcome_ = job_outcome::accepted});
            return;
        }
        if (is_final(record.progress_.phase_))
        {
            finish_call(context, request.call_,
                        {.outcome_ = call->kind_ == call_kind::lookup
                                         ? job_outcome::known
                                         : job_outcome::canceled,
                         .phase_ = record.progress_.phase_});
            return;
        }
        record_job_location(context, call->id_, record.shard_);
        call->located_ = true;
        call->withdrawing_ = false;
        retry_call_at(context, request.call_, *call, context.now_);
    }
    catch (record_error const& error)
    {
        log_event(context, "row_unreadable",
                  {{"key", call->id_.str()}, {"error", error.what()}});
        fail_call(context, request.call_);
    }
}

void apply(node& context, peer_replied const& input)
{
    if (end_offer(context, input.request_, input.answer_) ||
        end_part_call(context, input.request_, input.answer_))
    {
        return;
    }
    auto const forwarded = context.passed_.find(input.request_);
    if (forwarded == context.passed_.end())
    {
        return;
    }
    std::uint64_t const id = forwarded->second;
    context.passed_.erase(forwarded);
    call_row const* const call = context.calls_.find(id);
    if (call != nullptr && call->request_ == input.request_)
    {
        apply_answer(context, id, input.answer_);
    }
}

namespace
{

// A stopping process answers each call while it can still send the answer.
instant cap_deadline(node const& context, instant deadline)
{
    if (context.leave_at_ == instant::never())
    {
        return deadline;
    }
    return std::min(deadline, instant(context.leave_at_.micros() -
                                      context.settings_.answer_margin_micros_));
}

} // namespace

void cap_call_deadlines(node& context)
{
    for (std::size_t row = 0; row < context.calls_.size(); ++row)
    {
        call_row&     call = context.calls_[row];
        instant const bound = cap_deadline(context, call.deadline_);
        if (bound < call.deadline_)
        {
            call.deadline_ = bound;
            context.calls_due_.add(bound, context.calls_.key(row));
        }
    }
}

void open_call(node& context, std::uint64_t id, call_row call)
{
    call.deadline_ = cap_deadline(context, call.deadline_);
    context.calls_due_.add(call.retry_at_, id);
    context.calls_due_.add(call.deadline_, id);
    context.calls_.ensure(id) = std::move(call);
}

void apply(node& context, call_opened const& input)
{
    open_call(context, input.call_,
              {.kind_ = input.kind_,
               .id_ = input.id_,
               .job_ = input.job_,
               .deadline_ = instant(input.deadline_.micros() -
                                    context.settings_.answer_margin_micros_),
               .retry_at_ = context.now_});
}

void apply(node& context, call_closed const& input)
{
    context.calls_.remove(input.call_);
}

// 3. Ticks

namespace
{

// True when this host is stopping and knows no other one that could take over
// a shard without an owner.
bool lacks_successor(node const& context)
{
    if (!context.stopping_)
    {
        return false;
    }
    for (std::size_t row = 0; row < context.hosts_.size(); ++row)
    {
        if (is_eligible_successor(context, context.hosts_.key(row),
                                  context.hosts_[row]))
        {
            return false;
        }
    }
    return true;
}

// A submission was refused for load. It is tried at one more shard, first at
// the one that promises a time to come back. Before the refusal is sent, the
// store is asked for the job: an earlier attempt may have stored it.
void route_refused(node& context, std::uint64_t id)
{
    call_row& call = *context.calls_.find(id);
    if (!std::exchange(call.second_asked_, true))
    {
        std::optional<shard_id> const promising =
            find_return_shard(context, call.id_);
        std::optional<shard_id> const second =
            promising && !call.tried_.contains(*promising)
                ? promising
                : choose_shard(context, call);
        if (second)
        {
            forward_call(context, id, *second, call.kind_);
            return;
        }
    }
    locate_job(context, id, call);
}

void route_submit(node& context, std::uint64_t id)
{
    call_row&  call = *context.calls_.find(id);
    auto const place = context.job_locations_.find(call.id_);
    bool const is_located = place != context.job_locations_.end() &&
                            !call.tried_.contains(place->second);
    if (is_located && context.shards_.find(place->second) == nullptr)
    {
        // The layout of the job's failure domain isn't known yet.
        retry_call(context, id, call);
        wake_at(context, call.retry_at_);
        return;
    }
    if (call.overload_ && !is_located)
    {
        route_refused(context, id);
        return;
    }
    std::optional<shard_id> const shard =
        is_located ? place->second : choose_shard(context, call);
    if (shard)
    {
        forward_call(context, id, *shard, call.kind_);
        return;
    }
    bool const rejected = call.refusal_.retry_after_ms_ > 0;
    if (rejected || !context.store_ok_ || lacks_successor(context))
    {
        fail_call(context, id);
        return;
    }
    call.tried_.clear();
    retry_call(context, id, call);
    wake_at(context, call.retry_at_);
}

void route_query(node& context, std::uint64_t id)
{
    call_row&                     call = *context.calls_.find(id);
    std::optional<shard_id> const place = find_place(context, call);
    if (!place && call.kind_ == call_kind::cancel && !context.store_ok_ &&
        !context.delegate_calls_.contains(id))
    {
        fail_call(context, id); // neither found nor stored without the store
        return;
    }
    if (!place)
    {
        locate_job(context, id, call);
        return;
    }
    // Null while the layout of the job's failure domain isn't known.
    shard_row const* const shard = context.shards_.find(*place);
    if (shard != nullptr && has_owner(context, *place, *shard))
    {
        forward_call(context, id, *place, call.kind_);
        return;
    }
    if (lacks_successor(context))
    {
        fail_call(context, id);
        return;
    }
    retry_call(context, id, call);
    wake_at(context, call.retry_at_);
}

void route_call(node& context, std::uint64_t id)
{
    call_row* const call = context.calls_.find(id);
    if (call == nullptr)
    {
        return;
    }
    if (call->deadline_ <= context.now_)
    {
        call->may_have_succeeded_ =
            call->may_have_succeeded_ || call->request_ != 0;
        fail_call(context, id);
        return;
    }
    if (call->request_ != 0 || call->retry_at_ > context.now_)
    {
        return;
    }
    if (call->kind_ == call_kind::submit)
    {
        route_submit(context, id);
    }
    else
    {
        route_query(context, id);
    }
}

// False for stale entries, whose calls were replied to or retried meanwhile.
bool is_due(node const& context, instant due, std::uint64_t id)
{
    call_row const* const call = context.calls_.find(id);
    return call != nullptr && (call->deadline_ == due ||
                               (call->request_ == 0 && call->retry_at_ == due));
}

} // namespace

void route_calls(node& context)
{
    // A call may be due both for a retry and by its deadline. One that is
    // rejected immediately is tried elsewhere in the next tick.
    std::vector<std::uint64_t> ids = context.calls_due_.take(context.now_);
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    for (std::uint64_t const id : ids)
    {
        ++context.visited_;
        route_call(context, id);
    }
    context.calls_due_.drop_front(
        [&context](instant due, std::uint64_t id)
        {
            return !is_due(context, due, id);
        });
    wake_at(context, context.calls_due_.next());
}

} // namespace fescuevane::cell
