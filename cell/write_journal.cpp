// Purpose: system and events: writes the jobs of owned shards to the store.
//
// Each transaction is conditional on the fence row of its part, so that only
// the present owner of a shard changes its jobs, and on the revision of each
// row, so that a delayed write can't undo a later one.
//
// Index of sections
//   1. Changes
//   2. Transactions
//   3. Replies
#include "cell/cell.hpp"
#include "cell/node.hpp"
#include "cell/record_error.hpp"
#include "cell/records.hpp"
#include "cell/sessions.hpp"

#include <algorithm>

namespace fescuevane::cell
{

// 1. Changes

namespace
{

// When progress made now is written. All owners write to the same parts of the
// store, so each waits longer the more shards there are.
instant find_batch_deadline(node const& context)
{
    settings const& values = context.settings_;
    return context.now_.after(
        std::max(values.journal_micros_,
                 values.journal_shard_micros_ *
                     static_cast<std::int64_t>(context.shards_.size())));
}

} // namespace

void mark_changed(node& context, job_id const& job, bool urgent)
{
    record_row* const record = context.records_.find(job);
    if (record == nullptr)
    {
        return;
    }
    record->changed_ = context.next_change_++;
    owned_row* const own = context.owned_.find(record->shard_);
    if (own == nullptr)
    {
        return;
    }
    journal_part& part = own->parts_[record->part_];
    part.dirty_.insert(job);
    part.flush_at_ = std::min(
        part.flush_at_, urgent ? context.now_ : find_batch_deadline(context));
}

void expedite_write(node& context, record_row const& record)
{
    if (owned_row* const own = context.owned_.find(record.shard_))
    {
        journal_part& part = own->parts_[record.part_];
        part.flush_at_ = std::min(part.flush_at_, context.now_);
        wake_at(context, context.now_);
    }
}

void add_waiting_call(node& context, record_row& record,
                      waiting_call const& call)
{
    record.waiting_.push_back(call);
    context.waits_due_.add(call.deadline_, record.job_->id_);
}

void keep_result(node& context, record_row& record)
{
    record.expires_ = context.now_.after(context.settings_.result_keep_micros_);
    context.records_due_.add(record.expires_, record.job_->id_);
}

void remove_record(node& context, job_id const& job)
{
    record_row const* const record = context.records_.find(job);
    if (record == nullptr)
    {
        return;
    }
    if (owned_row* const own = context.owned_.find(record->shard_))
    {
        own->withdrawn_.erase(job);
    }
    context.records_.remove(job);
}

record_row& store_tombstone(node& context, job_id const& job,
                            shard_id const& shard)
{
    staged_job const empty{.id_ = job};
    record_row&      record = context.records_.ensure(job);
    record = record_row{.shard_ = shard,
                        .part_ = part_of(context, job),
                        .job_ = std::make_shared<staged_job const>(empty),
                        .spec_text_ = write_spec(empty),
                        .phase_ = job_phase::canceled,
                        .canceled_ = true};
    mark_changed(context, job, true);
    return record;
}

// 2. Transactions

std::size_t max_row_text(node const& context)
{
    return context.settings_.row_bytes_ / 4 * 3;
}

bool fits_in_row(node const& context, staged_job const& job)
{
    return write_spec(job).size() <= max_spec_bytes(context, job);
}

std::size_t max_spec_bytes(node const& context, staged_job const& job)
{
    // The rest of the row is for the progress. A delegate repeats the payload
    // of its job and lists its tasks, which are few or a gang with one
    // progress.
    std::size_t const whole = max_row_text(context);
    return job.alias_ ? whole / 8 * 7 : whole / 2;
}

namespace
{

job_progress progress_of(node const& context, record_row const& record)
{
    owned_row const& own = *context.owned_.find(record.shard_);
    job_id const&    id = record.job_->id_;
    job_progress     progress{.phase_ = record.phase_,
                              .withdrawn_ = record.withdrawn_};
    if (record.canceled_)
    {
        progress.phase_ = job_phase::canceled;
    }
    else if (plan::find_phase(*own.planner_, id))
    {
        progress = plan::write_progress(*own.planner_, id);
    }
    if (is_final(progress.phase_))
    {
        progress.delegates_ = list_delegates(context, id);
    }
    return progress;
}

row_key key_of(record_row const& record)
{
    return {"job", std::to_string(record.part_), record.job_->id_.str()};
}

// Part of a transaction that is left to jobs without waiting callers: callers
// may wait for jobs that change all the time.
constexpr std::size_t uncalled_divisor = 3;

// Jobs that were written longest ago come first, so that none waits forever
// behind others that change all the time.
void order_by_write(node const& context, std::vector<job_id>& jobs)
{
    std::sort(jobs.begin(), jobs.end(),
              [&context](job_id const& a, job_id const& b)
              {
                  return context.records_.find(a)->written_ <
                         context.records_.find(b)->written_;
              });
}

// Chooses the jobs of the next transaction; those with waiting callers go
// first.
std::vector<job_id> choose_jobs(node const& context, journal_part const& part)
{
    std::size_t const   limit = context.settings_.journal_jobs_;
    std::vector<job_id> jobs;
    std::vector<job_id> others;
    for (job_id const& job : part.dirty_)
    {
        if (record_row const* const record = context.records_.find(job))
        {
            (record->waiting_.empty() ? others : jobs).push_back(job);
        }
    }
    order_by_write(context, jobs);
    order_by_write(context, others);
    std::size_t const kept = std::min(others.size(), limit / uncalled_divisor);
    jobs.resize(std::min(jobs.size(), limit - kept));
    others.resize(std::min(others.size(), limit - jobs.size()));
    jobs.insert(jobs.end(), others.begin(), others.end());
    return jobs;
}

// The row of an ended job serves look-ups only, and each takeover reads it, so
// it doesn't repeat the specification.
std::string write_row(node const& context, record_row const& record)
{
    job_progress const progress = progress_of(context, record);
    return write_job(record.shard_,
                     is_final(progress.phase_)
                         ? write_spec(staged_job{.id_ = record.job_->id_})
                         : record.spec_text_,
                     progress, max_row_text(context));
}

// Size of a text in the encoding of the store.
std::size_t encoded_bytes(std::string const& text)
{
    return (text.size() + 2) / 3 * 4;
}

// Leaves out a row that the store would refuse together with all others of the
// transaction. The job is written again when its progress changes.
void skip_large_row(node& context, journal_part& part, job_id const& job,
                    std::size_t bytes)
{
    part.dirty_.erase(job);
    log_event(context, "row_too_large",
              {{"job", job.str()},
               {"bytes", std::to_string(bytes)},
               {"limit", std::to_string(context.settings_.row_bytes_)}});
}

// Rows of one transaction, with their jobs.
struct journal_batch
{
    std::vector<job_id>        jobs_;
    std::vector<row_condition> conditions_;
    std::vector<row_write>     writes_;
};

journal_batch write_rows(node& context, journal_part& part,
                         std::vector<job_id> const& jobs)
{
    journal_batch batch;
    std::size_t   bytes = 0;
    for (job_id const& job : jobs)
    {
        record_row& record = *context.records_.find(job);
        bool const  expired = record.expires_ <= context.now_;
        std::string text = expired ? std::string() : write_row(context, record);
        std::size_t const size = encoded_bytes(text);
        if (size > context.settings_.row_bytes_)
        {
            skip_large_row(context, part, job, size);
            continue;
        }
        bytes += size;
        if (bytes > context.settings_.transaction_bytes_)
        {
            break; // the others stay dirty
        }
        record.written_ = record.changed_;
        row_key const key = key_of(record);
        batch.jobs_.push_back(job);
        batch.conditions_.push_back({key, record.revision_});
        batch.writes_.push_back({key, std::move(text), expired});
    }
    return batch;
}

void write_part(node& context, shard_id const& shard, std::uint32_t index)
{
    owned_row&                own = *context.owned_.find(shard);
    journal_part&             part = own.parts_[index];
    std::vector<job_id> const jobs = choose_jobs(context, part);
    if (jobs.empty())
    {
        part.dirty_.clear(); // their records were removed
        part.flush_at_ = instant::never();
        return;
    }
    journal_batch batch = write_rows(context, part, jobs);
    if (batch.jobs_.empty())
    {
        part.flush_at_ = context.now_;
        wake_at(context, context.now_);
        return;
    }
    batch.conditions_.insert(batch.conditions_.begin(),
                             {write_fence_key(shard, index), part.fence_});
    part.request_ = next_request(context);
    part.flush_at_ = instant::never();
    context.requests_.ensure(part.request_) = {.kind_ = request_kind::journal,
                                               .shard_ = shard,
                                               .part_ = index,
                                               .jobs_ = batch.jobs_,
                                               .sent_ = context.now_};
    context.outbox_.push_back(
        store_transact{.request_ = part.request_,
                       .conditions_ = std::move(batch.conditions_),
                       .writes_ = std::move(batch.writes_),
                       .deadline_ = store_deadline(context)});
}

// Reply to a caller whose deadline has passed: an uncertain outcome, or the
// present phase for a look-up.
job_answer answer_late(node const& context, record_row const& record,
                       waiting_call const& call)
{
    if (call.kind_ == call_kind::lookup)
    {
        return {.outcome_ = job_outcome::known,
                .phase_ = is_phase_stored(record) ? phase_of(context, record)
                                                  : job_phase::running};
    }
    return {.outcome_ = job_outcome::uncertain};
}

void answer_expired(node& context, record_row& record)
{
    std::erase_if(record.waiting_,
                  [&context, &record](waiting_call const& call)
                  {
                      if (call.deadline_ > context.now_)
                      {
                          return false;
                      }
                      answer_origin(context, call.origin_,
                                    answer_late(context, record, call));
                      return true;
                  });
}

// True when a call with exactly this deadline still waits for the record; the
// queue keeps the entries of calls that were answered in time.
bool is_awaited(node const& context, instant due, job_id const& job)
{
    record_row const* const record = context.records_.find(job);
    return record != nullptr &&
           std::any_of(record->waiting_.begin(), record->waiting_.end(),
                       [due](waiting_call const& call)
                       {
                           return call.deadline_ == due;
                       });
}

void expire_waiting_calls(node& context)
{
    for (job_id const& job : context.waits_due_.take(context.now_))
    {
        ++context.visited_;
        if (record_row* const record = context.records_.find(job))
        {
            answer_expired(context, *record);
        }
    }
    context.waits_due_.drop_front(
        [&context](instant due, job_id const& job)
        {
            return !is_awaited(context, due, job);
        });
    wake_at(context, context.waits_due_.next());
}

// An expired record that is being written is removed when the reply arrives.
void expire_records(node& context)
{
    for (job_id const& job : context.records_due_.take(context.now_))
    {
        ++context.visited_;
        record_row const* const record = context.records_.find(job);
        if (record != nullptr && record->expires_ <= context.now_ &&
            record->saved_ >= record->changed_)
        {
            mark_changed(context, job, false);
        }
    }
}

} // namespace

void write_journal(node& context)
{
    expire_waiting_calls(context);
    expire_records(context);
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        shard_id const shard = context.owned_.key(row);
        if (!owns(context, shard, owned_phase::serving))
        {
            continue;
        }
        auto const parts =
            static_cast<std::uint32_t>(context.owned_[row].parts_.size());
        for (std::uint32_t index = 0; index < parts; ++index)
        {
            journal_part const& part = context.owned_[row].parts_[index];
            if (part.request_ != 0 || part.dirty_.empty())
            {
                continue;
            }
            instant const due = std::max(part.flush_at_, part.retry_at_);
            if (due > context.now_)
            {
                wake_at(context, due);
                continue;
            }
            write_part(context, shard, index);
        }
    }
}

// 3. Replies

// Answers the look-ups that wait for the end of the job.
void answer_lookups(node& context, record_row& record)
{
    if (!is_end_stored(context, record))
    {
        return;
    }
    job_phase const phase = phase_of(context, record);
    std::erase_if(record.waiting_,
                  [&](waiting_call const& call)
                  {
                      if (call.kind_ != call_kind::lookup)
                      {
                          return false;
                      }
                      answer_origin(
                          context, call.origin_,
                          {.outcome_ = job_outcome::known, .phase_ = phase});
                      return true;
                  });
}

void answer_waiting(node& context, record_row& record, call_kind kind,
                    job_outcome outcome)
{
    std::erase_if(record.waiting_,
                  [&](waiting_call const& call)
                  {
                      if (call.kind_ != kind)
                      {
                          return false;
                      }
                      answer_origin(context, call.origin_,
                                    {.outcome_ = outcome});
                      return true;
                  });
}

namespace
{

bool has_waiting(record_row const& record, call_kind kind)
{
    return std::any_of(record.waiting_.begin(), record.waiting_.end(),
                       [kind](waiting_call const& call)
                       {
                           return call.kind_ == kind;
                       });
}

// The job is in the store, so it is accepted. One whose row is final already
// needs no planner.
void accept_job(node& context, record_row& record)
{
    record.stored_ = true;
    record.uncertain_ = false;
    record_job_location(context, record.job_->id_, record.shard_);
    if (is_final(record.phase_))
    {
        keep_result(context, record);
        answer_waiting(context, record, call_kind::submit,
                       record.withdrawn_ ? job_outcome::withdrawn
                                         : job_outcome::accepted);
        answer_waiting(context, record, call_kind::cancel,
                       record.withdrawn_ ? job_outcome::withdrawn
                                         : job_outcome::canceled);
        return;
    }
    add_alias(context, *record.job_);
    owned_row& own = *context.owned_.find(record.shard_);
    plan::post_event(
        *own.planner_,
        plan::job_added{.job_ = record.job_,
                        .accepted_at_ = accepted_at(context, *record.job_)});
    own.plan_needed_ = true;
    wake_at(context, context.now_);
    log_event(context, "job_accepted",
              {{"job", record.job_->id_.str()},
               {"organisation", record.job_->organisation_.str()},
               {"queue", record.job_->queue_.str()},
               {"shard", write_shard_name(record.shard_)}});
    answer_waiting(context, record, call_kind::submit, job_outcome::accepted);
    // Cancels that arrived while the submission was being written.
    if (has_waiting(record, call_kind::cancel))
    {
        cancel_job(context, record);
        log_event(context, "job_canceled", {{"job", record.job_->id_.str()}});
    }
}

void apply_saved_job(node& context, journal_part& part, job_id const& job)
{
    record_row* const record = context.records_.find(job);
    owned_row&        own = *context.owned_.find(record->shard_);
    if (record->expires_ <= context.now_)
    {
        plan::post_event(*own.planner_, plan::job_dropped{job});
        remove_alias(context, *record->job_);
        part.dirty_.erase(job);
        remove_record(context, job);
        return;
    }
    record->saved_ = record->written_;
    if (!record->stored_)
    {
        accept_job(context, *record);
    }
    // A write that was in flight when the job ended doesn't contain the end.
    if (is_end_stored(context, *record))
    {
        answer_waiting(context, *record, call_kind::cancel,
                       job_outcome::canceled);
        answer_lookups(context, *record);
    }
    if (record->changed_ > record->saved_)
    {
        part.flush_at_ = std::min(part.flush_at_, find_batch_deadline(context));
    }
    else
    {
        part.dirty_.erase(job);
    }
    auto const phase = plan::find_phase(*own.planner_, job);
    if (phase && is_final(*phase) && is_phase_stored(*record) &&
        record->expires_ == instant::never())
    {
        record->phase_ = *phase;
        keep_result(context, *record);
        log_event(context, "job_ended",
                  {{"job", job.str()},
                   {"phase", std::to_string(static_cast<int>(*phase))}});
    }
}

// Handles a job row with an unexpected revision: an earlier write was performed
// after all, or the job was accepted by another shard.
void resolve_conflict(node& context, journal_part& part, record_row& record,
                      stored_row const& row)
{
    job_id const id = record.job_->id_;
    if (record.stored_ || row.revision_ == 0)
    {
        record.revision_ = row.revision_;
        return;
    }
    try
    {
        job_record const stored = read_job(row.value_);
        bool const       withdrawn = stored.progress_.withdrawn_;
        if (stored.shard_ == record.shard_ && withdrawn == record.withdrawn_)
        {
            record.revision_ = row.revision_;
            record.saved_ = record.written_;
            part.dirty_.erase(id);
            accept_job(context, record);
            return;
        }
        record_job_location(context, id, stored.shard_);
        answer_waiting(context, record, call_kind::submit,
                       withdrawn ? job_outcome::withdrawn
                                 : job_outcome::accepted);
        // The caller's host reads the row again and sends the cancel there.
        answer_waiting(context, record, call_kind::cancel,
                       withdrawn ? job_outcome::withdrawn
                                 : job_outcome::absent);
    }
    catch (record_error const& error)
    {
        log_event(context, "row_unreadable",
                  {{"key", id.str()}, {"error", error.what()}});
        answer_waiting(context, record, call_kind::submit,
                       job_outcome::uncertain);
        answer_waiting(context, record, call_kind::cancel,
                       job_outcome::uncertain);
    }
    part.dirty_.erase(id);
    remove_record(context, id);
}

revision expected_revision(node const& context, journal_part const& part,
                           stored_row const& row)
{
    if (row.key_.table_ == "member")
    {
        return part.fence_;
    }
    record_row const* const record =
        context.records_.find(job_id(row.key_.key_));
    return record == nullptr ? row.revision_ : record->revision_;
}

// The store refused the transaction: rejects jobs of which no earlier write can
// have been performed.
void reject_unwritten_jobs(node& context, journal_part& part,
                           std::vector<job_id> const& jobs)
{
    for (job_id const& job : jobs)
    {
        record_row* const record = context.records_.find(job);
        if (record == nullptr || record->stored_ || record->uncertain_)
        {
            continue;
        }
        answer_waiting(context, *record, call_kind::submit,
                       job_outcome::unavailable);
        answer_waiting(context, *record, call_kind::cancel,
                       job_outcome::unavailable);
        part.dirty_.erase(job);
        remove_record(context, job);
    }
}

void mark_uncertain(node& context, std::vector<job_id> const& jobs)
{
    for (job_id const& job : jobs)
    {
        record_row* const record = context.records_.find(job);
        if (record != nullptr && !record->stored_)
        {
            record->uncertain_ = true;
        }
    }
}

} // namespace

void end_journal(node& context, request_row const& request,
                 store_reply const& reply)
{
    owned_row* const own = context.owned_.find(request.shard_);
    if (own == nullptr)
    {
        return;
    }
    journal_part& part = own->parts_[request.part_];
    if (!part.fenced_)
    {
        return;
    }
    part.request_ = 0;
    part.flush_at_ = context.now_;
    note_store_proof(*own, reply, request);
    switch (reply.outcome_)
    {
    case store_outcome::done:
        part.flush_at_ = instant::never();
        for (job_id const& job : request.jobs_)
        {
            record_row* const record = context.records_.find(job);
            if (record != nullptr)
            {
                record->revision_ = reply.revision_;
                apply_saved_job(context, part, job);
            }
        }
        if (!part.dirty_.empty())
        {
            part.flush_at_ =
                std::min(part.flush_at_, find_batch_deadline(context));
        }
        break;
    case store_outcome::conflict:
        for (stored_row const& row : reply.rows_)
        {
            if (row.revision_ == expected_revision(context, part, row))
            {
                continue;
            }
            if (row.key_.table_ == "member")
            {
                apply(context, member_row_changed{row});
                drop_shard(context, request.shard_,
                           "another process changed its fence row");
                return;
            }
            resolve_conflict(context, part,
                             *context.records_.find(job_id(row.key_.key_)),
                             row);
        }
        break;
    case store_outcome::not_done:
        part.retry_at_ =
            context.now_.after(context.settings_.store_retry_micros_);
        reject_unwritten_jobs(context, part, request.jobs_);
        break;
    case store_outcome::unknown:
        part.retry_at_ =
            context.now_.after(context.settings_.store_retry_micros_ / 2);
        mark_uncertain(context, request.jobs_);
        break;
    }
}

} // namespace fescuevane::cell
