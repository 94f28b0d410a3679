// Purpose: handles calls about jobs of owned shards.
//
// Index of sections
//   1. Replies
//   2. Submissions
//   3. Look-ups and cancellations
#include "cell/cell.hpp"
#include "cell/node.hpp"
#include "cell/records.hpp"

#include <algorithm>
#include <array>

namespace fescuevane::cell
{

// 1. Replies

void answer_origin(node& context, origin const& to, job_answer const& answer)
{
    if (to.remote_)
    {
        context.outbox_.push_back(reply_peer{to.call_, answer});
    }
    else
    {
        apply_answer(context, to.call_, answer);
    }
}

namespace
{

job_answer refuse(node const& context, job_outcome outcome)
{
    return {.outcome_ = outcome,
            .retry_after_ms_ = context.settings_.retry_after_ms_};
}

} // namespace

// 2. Submissions

namespace
{

void serve_submit(node& context, origin const& from, job_call const& call)
{
    record_row* const known = context.records_.find(call.id_);
    if (known != nullptr && known->stored_)
    {
        answer_origin(context, from,
                      {.outcome_ = known->withdrawn_ ? job_outcome::withdrawn
                                                     : job_outcome::accepted});
        return;
    }
    if (known != nullptr)
    {
        add_waiting_call(context, *known,
                         {from, call_kind::submit, call.deadline_});
        return;
    }
    if (!context.store_ok_)
    {
        answer_origin(context, from, refuse(context, job_outcome::unavailable));
        return;
    }
    std::string const spec_text = write_spec(*call.job_);
    std::size_t const limit = max_spec_bytes(context, *call.job_);
    if (spec_text.size() > limit)
    {
        log_event(context, "job_too_large",
                  {{"job", call.id_.str()},
                   {"bytes", std::to_string(spec_text.size())},
                   {"limit", std::to_string(limit)}});
        answer_origin(context, from, refuse(context, job_outcome::unavailable));
        return;
    }
    if (auto const refusal = refuse_for_load(context, call))
    {
        answer_origin(context, from, *refusal);
        return;
    }
    record_row& record = context.records_.ensure(call.id_);
    record = record_row{.shard_ = call.shard_,
                        .part_ = part_of(context, call.id_),
                        .job_ = call.job_,
                        .spec_text_ = spec_text};
    add_waiting_call(context, record,
                     {from, call_kind::submit, call.deadline_});
    mark_changed(context, call.id_, true);
}

// 3. Look-ups and cancellations

} // namespace

job_phase phase_of(node const& context, record_row const& record)
{
    if (record.canceled_)
    {
        return job_phase::canceled;
    }
    owned_row const& own = *context.owned_.find(record.shard_);
    return plan::find_phase(*own.planner_, record.job_->id_)
        .value_or(record.phase_);
}

bool is_phase_stored(record_row const& record)
{
    return record.saved_ >= record.end_change_;
}

bool is_end_stored(node const& context, record_row const& record)
{
    return is_final(phase_of(context, record)) && is_phase_stored(record);
}

void note_end(node& context, record_row& record)
{
    if (record.end_change_ == 0 && is_final(phase_of(context, record)))
    {
        record.end_change_ = record.changed_;
    }
}

void cancel_job(node& context, record_row& record)
{
    job_id const id = record.job_->id_;
    record.canceled_ = true;
    owned_row& own = *context.owned_.find(record.shard_);
    plan::post_event(*own.planner_, plan::job_canceled{id});
    own.plan_needed_ = true;
    wake_at(context, context.now_);
    mark_changed(context, id, true);
    record.end_change_ = record.changed_;
}

namespace
{

// How long a look-up waits for the job's end to be stored. A healthy store
// never takes this long. Without the store, the job is reported as running.
constexpr std::int64_t end_wait_micros = 500'000;

void serve_lookup(node& context, origin const& from, job_call const& call)
{
    record_row* const record = context.records_.find(call.id_);
    if (record == nullptr)
    {
        answer_origin(context, from, {.outcome_ = job_outcome::absent});
        return;
    }
    if (!record->stored_)
    {
        answer_origin(context, from, refuse(context, job_outcome::unavailable));
        return;
    }
    if (record->withdrawn_)
    {
        answer_origin(context, from, {.outcome_ = job_outcome::withdrawn});
        return;
    }
    // An end that isn't stored is lost if this process and the target that
    // lists it are both lost, so it isn't reported to anyone.
    job_phase const phase = phase_of(context, *record);
    bool const      unstored = is_final(phase) && !is_phase_stored(*record);
    if (unstored)
    {
        expedite_write(context, *record);
    }
    if (record->job_->alias_ && (!is_final(phase) || unstored))
    {
        // Only the delegating shard looks this up, and it waits for the end.
        add_waiting_call(context, *record,
                         {from, call_kind::lookup, call.deadline_});
        return;
    }
    if (unstored)
    {
        add_waiting_call(
            context, *record,
            {from, call_kind::lookup,
             std::min(call.deadline_, context.now_.after(end_wait_micros))});
        return;
    }
    answer_origin(context, from,
                  {.outcome_ = job_outcome::known, .phase_ = phase});
}

void serve_cancel(node& context, origin const& from, job_call const& call)
{
    record_row* const record = context.records_.find(call.id_);
    if (record == nullptr)
    {
        answer_origin(context, from, {.outcome_ = job_outcome::absent});
        return;
    }
    if (record->stored_ && is_end_stored(context, *record))
    {
        answer_origin(context, from,
                      {.outcome_ = record->withdrawn_ ? job_outcome::withdrawn
                                                      : job_outcome::canceled});
        return;
    }
    add_waiting_call(context, *record,
                     {from, call_kind::cancel, call.deadline_});
    if (!record->stored_)
    {
        return; // until its submission is stored or refused
    }
    if (is_final(phase_of(context, *record)))
    {
        expedite_write(context, *record);
        return;
    }
    cancel_job(context, *record);
    log_event(context, "job_canceled", {{"job", call.id_.str()}});
}

// No row of the job was found, but a submission may still be in flight, or in
// the socket of a process that is suspended. The row of a withdrawn job makes
// that submission fail, whichever shard and owner it reaches.
void serve_cancel_absent(node& context, origin const& from,
                         job_call const& call)
{
    if (context.records_.contains(call.id_))
    {
        serve_cancel(context, from, call);
        return;
    }
    owned_row& own = *context.owned_.find(call.shard_);
    if (!context.store_ok_ ||
        own.withdrawn_.size() >= context.settings_.max_withdrawn_)
    {
        answer_origin(context, from, refuse(context, job_outcome::unavailable));
        return;
    }
    record_row& record = store_tombstone(context, call.id_, call.shard_);
    record.withdrawn_ = true;
    own.withdrawn_.insert(call.id_);
    add_waiting_call(context, record,
                     {from, call_kind::cancel, call.deadline_});
    log_event(
        context, "job_withdrawn",
        {{"job", call.id_.str()}, {"shard", write_shard_name(call.shard_)}});
}

// In the order of `call_kind`.
constexpr std::array<void (*)(node&, origin const&, job_call const&), 8>
    call_handlers = {&serve_submit, &serve_lookup,       &serve_cancel,
                     &serve_offer,  &serve_part,         &serve_part,
                     &serve_part,   &serve_cancel_absent};

} // namespace

void serve_call(node& context, origin const& from, job_call const& call)
{
    owned_row const* const own = context.owned_.find(call.shard_);
    if (own == nullptr || own->phase_ == owned_phase::claiming ||
        own->releasing_)
    {
        answer_origin(context, from, {.outcome_ = job_outcome::not_owner});
        return;
    }
    if (own->phase_ != owned_phase::serving)
    {
        context.parked_.push_back({from, call});
        return;
    }
    call_handlers.at(static_cast<std::size_t>(call.kind_))(context, from, call);
}

void apply(node& context, peer_called const& input)
{
    serve_call(context, {true, input.call_}, input.request_);
}

} // namespace fescuevane::cell
