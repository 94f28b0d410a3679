// Purpose: the system that commits job records in batches.
#include "state/control.hpp"
#include "state/row_json.hpp"
#include "state/row_key.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::state
{
namespace
{

void refuse_record(control& context, shard_id const& shard, job_key const& job,
                   std::string const& reason)
{
    context.outbox_.push_back(job_recorded{shard, job, false, reason});
}

row_write write_record(control const& context, job_record const& record,
                       job_key const& job)
{
    std::string const key = format_job_key(record.shard_, job);
    return record.spec_ ? row_write{key, write_job(record, context.now_)}
                        : row_write{key, "", true};
}

// Records that were never sent are surely not written.
void expire_records(control& context, std::size_t journal)
{
    auto&              waiting = context.journals_.waiting_[journal];
    shard_id const     shard = context.journals_.index_.key(journal);
    std::int64_t const bound = context.settings_.journal_give_up_micros_;
    while (!waiting.empty() &&
           waiting.front().noted_.after(bound) <= context.now_)
    {
        refuse_record(context, shard, waiting.front().job_,
                      "the store gives no answer");
        waiting.pop_front();
        --context.journals_.waiting_rows_;
    }
}

bool fits_batch(control const& context, std::vector<row_write> const& batch,
                std::size_t bytes, journal_entry const& next)
{
    settings const& values = context.settings_;
    bool const      repeated = std::any_of(batch.begin(), batch.end(),
                                           [&next](row_write const& write)
                                           {
                                          return write.key_ == next.write_.key_;
                                      });
    return batch.empty() ||
           (!repeated && batch.size() < values.journal_batch_rows_ &&
            bytes + next.write_.value_.size() <= values.journal_batch_bytes_);
}

// One row stands once in a commit; a second record of it starts the next one.
std::vector<row_write> take_batch(control& context, std::size_t journal)
{
    auto&                  waiting = context.journals_.waiting_[journal];
    std::vector<row_write> batch;
    std::size_t            bytes = 0;
    while (!waiting.empty() &&
           fits_batch(context, batch, bytes, waiting.front()))
    {
        journal_entry const& entry = waiting.front();
        bytes += entry.write_.value_.size();
        batch.push_back(entry.write_);
        context.journals_.sent_[journal].push_back(entry.job_);
        waiting.pop_front();
        --context.journals_.waiting_rows_;
    }
    return batch;
}

instant find_batch_time(control const& context, std::size_t journal)
{
    auto const&     waiting = context.journals_.waiting_[journal];
    settings const& values = context.settings_;
    return waiting.size() >= values.journal_batch_rows_
               ? context.now_
               : waiting.front().noted_.after(values.journal_linger_micros_);
}

// While reads fail, records wait: those that were sent would have to wait for
// the store, the others can be refused in time.
bool can_commit(control const& context, shard_id const& shard)
{
    auto const row = context.shards_.index_.find(shard);
    return row && context.store_.read_failures_ == 0 &&
           context.shards_.phase_[*row] == shard_phase::owned &&
           !has_commit(context,
                       {.purpose_ = commit_purpose::journal, .shard_ = shard});
}

// A commit counts as sent once it is queued: from then on it is retried until
// its result is known.
instant commit_records(control& context, std::size_t journal)
{
    shard_id const shard = context.journals_.index_.key(journal);
    if (context.journals_.waiting_[journal].empty() ||
        !can_commit(context, shard))
    {
        return instant::never();
    }
    instant const due = find_batch_time(context, journal);
    if (due > context.now_)
    {
        return due;
    }
    open_commit(context, {.purpose_ = commit_purpose::journal, .shard_ = shard},
                {make_condition(context.rows_, format_shard_key(shard))},
                take_batch(context, journal));
    return instant::never();
}

instant advance_journal(control& context, std::size_t journal)
{
    expire_records(context, journal);
    instant const due = commit_records(context, journal);
    auto const&   waiting = context.journals_.waiting_[journal];
    if (waiting.empty())
    {
        return due;
    }
    return std::min(due, waiting.front().noted_.after(
                             context.settings_.journal_give_up_micros_));
}

} // namespace

void queue_record(control& context, job_record const& record)
{
    job_key const job =
        record.spec_ ? record.spec_->key_ : record.result_->key_;
    auto const shard = context.shards_.index_.find(record.shard_);
    if (!shard || !is_serving(context.shards_, *shard))
    {
        refuse_record(context, record.shard_, job,
                      "the shard has another owner");
        return;
    }
    journal_table& journals = context.journals_;
    if (journals.waiting_rows_ >= context.settings_.journal_queue_rows_)
    {
        refuse_record(context, record.shard_, job, "the journal queue is full");
        return;
    }
    std::size_t const row = ensure_journal(journals, record.shard_);
    journals.waiting_[row].push_back(
        {job, write_record(context, record, job), context.now_});
    ++journals.waiting_rows_;
}

// Records of the open commit stay: its result tells whether they are written.
void drop_records(control& context, shard_id const& shard,
                  std::string const& reason)
{
    auto const row = context.journals_.index_.find(shard);
    if (!row)
    {
        return;
    }
    auto const waiting = std::exchange(context.journals_.waiting_[*row], {});
    context.journals_.waiting_rows_ -= waiting.size();
    for (journal_entry const& entry : waiting)
    {
        refuse_record(context, shard, entry.job_, reason);
    }
}

instant batch_journal(control& context)
{
    instant next = instant::never();
    for (std::size_t row = context.journals_.index_.size(); row-- > 0;)
    {
        next = std::min(next, advance_journal(context, row));
        if (context.journals_.waiting_[row].empty() &&
            context.journals_.sent_[row].empty())
        {
            remove_journal(context.journals_, row);
        }
    }
    return next;
}

} // namespace fescuevane::state
