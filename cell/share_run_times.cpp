// Purpose: system and events: shares the run times that owned shards learnt, in
// heartbeats and in one row of the store for each shard.
//
// Everything here affects only the quality of estimates. A report replaces the
// earlier ones of the same shard and key unless it is older, so a repeated or
// late one changes nothing. A lost one is made up for by the next sample or the
// next repetition. The row serves the next owner after a restart of all hosts;
// an owner that can't read it starts with what other hosts have reported.
//
// Index of sections
//   1. Heartbeats
//   2. Stored rows
//   3. System
#include "cell/node.hpp"

#include "cell/record_error.hpp"
#include "cell/records.hpp"
#include "plan/run_time_errors.hpp"
#include "plan/run_times.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace fescuevane::cell
{
namespace
{

// 1. Heartbeats

constexpr std::int64_t share_micros = 2'000'000;

// Rows in one heartbeat, about 2 KB: traffic between domains is charged.
constexpr std::size_t max_batch_rows = 24;

// Rows without new samples are repeated for hosts that missed them.
constexpr std::int64_t repeat_micros = 60'000'000;

bool is_enabled(node const& context)
{
    return context.settings_.plan_.run_time_model_ ==
           plan::run_time_model::shared;
}

// Rows with new samples or due for repetition, longest unsent first.
void fill_batch(node const& context, run_time_ledger& ledger,
                std::vector<plan::run_time_row> const& rows)
{
    std::vector<std::pair<instant, plan::run_time_row const*>> due;
    for (plan::run_time_row const& row : rows)
    {
        auto const sent = ledger.sent_.find(row.key_);
        if (sent == ledger.sent_.end())
        {
            due.emplace_back(instant(), &row);
        }
        else if (sent->second.first < row.learnt_unix_ms_ ||
                 sent->second.second <= context.now_)
        {
            due.emplace_back(sent->second.second, &row);
        }
    }
    std::stable_sort(due.begin(), due.end(),
                     [](auto const& a, auto const& b)
                     {
                         return a.first < b.first;
                     });
    due.resize(std::min(due.size(), max_batch_rows));
    ledger.batch_.clear();
    for (auto const& [since, row] : due)
    {
        ledger.batch_.push_back(*row);
        ledger.sent_[row->key_] = {row->learnt_unix_ms_,
                                   context.now_.after(repeat_micros)};
    }
    std::erase_if(ledger.sent_,
                  [&rows](auto const& entry)
                  {
                      return std::none_of(
                          rows.begin(), rows.end(),
                          [&entry](plan::run_time_row const& row)
                          {
                              return row.key_ == entry.first;
                          });
                  });
}

std::vector<plan::run_time_row> list_others(node const&     context,
                                            shard_id const& shard)
{
    std::vector<plan::run_time_row> others;
    for (std::size_t row = 0; row < context.heard_run_times_.size(); ++row)
    {
        shard_id const& other = context.heard_run_times_.key(row);
        if (other != shard && !context.owned_.contains(other))
        {
            for (auto const& [key, heard] : context.heard_run_times_[row].rows_)
            {
                others.push_back(heard);
            }
        }
    }
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        owned_row const& own = context.owned_[row];
        if (context.owned_.key(row) != shard && own.planner_)
        {
            auto const rows = plan::list_run_times(*own.planner_);
            others.insert(others.end(), rows.begin(), rows.end());
        }
    }
    return others;
}

// 2. Stored rows

constexpr char const* run_time_table = "run_time";

// Part of the fence row that a claim writes first.
constexpr std::uint32_t run_time_fence_part = 0;

constexpr std::int64_t write_micros = 10'000'000;

row_key key_of(shard_id const& shard)
{
    return {run_time_table, std::to_string(run_time_fence_part),
            write_shard_name(shard)};
}

std::int64_t find_latest(std::vector<plan::run_time_row> const& rows)
{
    std::int64_t latest = 0;
    for (plan::run_time_row const& row : rows)
    {
        latest = std::max(latest, row.learnt_unix_ms_);
    }
    return latest;
}

void log_errors(node& context, shard_id const& shard, owned_row const& own,
                std::size_t models)
{
    plan::run_time_errors const errors =
        plan::sum_run_time_errors(*own.planner_);
    std::uint64_t heard = 0;
    std::uint64_t dropped = 0;
    for (heard_run_times_row const& row : context.heard_run_times_)
    {
        heard += row.rows_.size();
        dropped += row.dropped_;
    }
    std::vector<std::pair<std::string, std::string>> fields = {
        {"shard", write_shard_name(shard)},
        {"models", std::to_string(models)},
        {"heard", std::to_string(heard)},
        {"dropped", std::to_string(dropped)},
        {"runs", std::to_string(errors.runs_)}};
    struct named_error
    {
        char const* name_;
        double plan::run_time_errors::*sum_;
    };
    static constexpr std::array<named_error, 5> named = {
        {{"declared", &plan::run_time_errors::declared_},
         {"local", &plan::run_time_errors::local_},
         {"learnt", &plan::run_time_errors::learnt_},
         {"local_stage", &plan::run_time_errors::local_stage_},
         {"learnt_stage", &plan::run_time_errors::learnt_stage_}}};
    for (named_error const& error : named)
    {
        fields.emplace_back(error.name_, std::to_string(errors.*error.sum_));
    }
    log_event(context, "run_times", std::move(fields));
}

void write_run_times_row(node& context, shard_id const& shard, owned_row& own,
                         std::vector<plan::run_time_row> const& rows)
{
    run_time_ledger& ledger = own.run_times_;
    ledger.writing_unix_ms_ = find_latest(rows);
    ledger.write_at_ = context.now_.after(write_micros);
    ledger.request_ = next_request(context);
    context.requests_.ensure(ledger.request_) = {
        .kind_ = request_kind::store_run_times,
        .shard_ = shard,
        .sent_ = context.now_};
    context.outbox_.push_back(store_transact{
        .request_ = ledger.request_,
        .conditions_ = {{write_fence_key(shard, run_time_fence_part),
                         own.parts_[run_time_fence_part].fence_},
                        {key_of(shard), ledger.revision_}},
        .writes_ = {{key_of(shard),
                     write_run_times(rows, max_row_text(context))}},
        .deadline_ = store_deadline(context)});
}

} // namespace

void attach_run_times(node& context, heartbeat& beat)
{
    for (shard_load& shard : beat.shards_)
    {
        shard.run_times_ = std::exchange(
            context.owned_.find(shard.shard_)->run_times_.batch_, {});
    }
}

void apply_run_times(node& context, shard_load const& reported)
{
    if (!is_enabled(context) || reported.run_times_.empty() ||
        context.shards_.find(reported.shard_) == nullptr)
    {
        return;
    }
    heard_run_times_row& heard =
        context.heard_run_times_.ensure(reported.shard_);
    for (plan::run_time_row const& row : reported.run_times_)
    {
        if (!plan::is_plausible(row, context.unix_ms_))
        {
            ++heard.dropped_;
            continue;
        }
        auto const known = heard.rows_.find(row.key_);
        if (known == heard.rows_.end())
        {
            heard.rows_.emplace(row.key_, row);
        }
        else if (known->second.learnt_unix_ms_ < row.learnt_unix_ms_)
        {
            known->second = row;
        }
        if (heard.rows_.size() > plan::max_run_time_rows)
        {
            // The owner has replaced keys too, which no report tells.
            heard.rows_.erase(std::min_element(
                heard.rows_.begin(), heard.rows_.end(),
                [](auto const& a, auto const& b)
                {
                    return a.second.learnt_unix_ms_ < b.second.learnt_unix_ms_;
                }));
            ++heard.dropped_;
        }
    }
}

void load_run_times(node& context, shard_id const& shard, owned_row& own)
{
    run_time_ledger& ledger = own.run_times_;
    if (!is_enabled(context) || ledger.loaded_ || ledger.request_ != 0)
    {
        return;
    }
    if (ledger.retry_at_ > context.now_)
    {
        wake_at(context, ledger.retry_at_);
        return;
    }
    ledger.request_ = next_request(context);
    context.requests_.ensure(ledger.request_) = {
        .kind_ = request_kind::load_run_times,
        .shard_ = shard,
        .sent_ = context.now_};
    row_key const key = key_of(shard);
    context.outbox_.push_back(store_read{.request_ = ledger.request_,
                                         .table_ = key.table_,
                                         .part_ = key.part_,
                                         .from_ = key.key_,
                                         .to_ = key.key_ + "!",
                                         .deadline_ = store_deadline(context)});
}

void end_load_run_times(node& context, request_row const& request,
                        store_reply const& reply)
{
    owned_row* const own = context.owned_.find(request.shard_);
    if (own == nullptr)
    {
        return;
    }
    run_time_ledger& ledger = own->run_times_;
    ledger.request_ = 0;
    if (reply.outcome_ != store_outcome::done)
    {
        ledger.retry_at_ =
            context.now_.after(context.settings_.store_retry_micros_);
        return;
    }
    ledger.loaded_ = true;
    for (stored_row const& row : reply.rows_)
    {
        ledger.revision_ = row.revision_;
        try
        {
            plan::post_event(*own->planner_, plan::run_times_restored{
                                                 read_run_times(row.value_)});
        }
        catch (record_error const& error)
        {
            log_event(context, "row_unreadable",
                      {{"key", row.key_.key_}, {"error", error.what()}});
        }
    }
    // What the former owner reported may be newer than its row.
    if (heard_run_times_row const* const heard =
            context.heard_run_times_.find(request.shard_))
    {
        std::vector<plan::run_time_row> rows;
        for (auto const& [key, row] : heard->rows_)
        {
            rows.push_back(row);
        }
        plan::post_event(*own->planner_,
                         plan::run_times_restored{std::move(rows)});
    }
}

void end_store_run_times(node& context, request_row const& request,
                         store_reply const& reply)
{
    owned_row* const own = context.owned_.find(request.shard_);
    if (own == nullptr)
    {
        return;
    }
    run_time_ledger& ledger = own->run_times_;
    ledger.request_ = 0;
    if (reply.outcome_ == store_outcome::done)
    {
        ledger.revision_ = reply.revision_;
        ledger.stored_unix_ms_ = ledger.writing_unix_ms_;
        return;
    }
    // After a conflict on the row an earlier unanswered write was performed; a
    // changed fence row is noticed by the writes of jobs and leases.
    for (stored_row const& row : reply.rows_)
    {
        if (row.key_ == key_of(request.shard_))
        {
            ledger.revision_ = row.revision_;
        }
    }
}

bool awaits_run_times(node const& context, owned_row const& own)
{
    run_time_ledger const& ledger = own.run_times_;
    return is_enabled(context) && !may_be_released(own) && ledger.loaded_ &&
           (ledger.request_ != 0 || !ledger.last_written_);
}

// 3. System

void share_run_times(node& context)
{
    if (!is_enabled(context))
    {
        return;
    }
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        owned_row&       own = context.owned_[row];
        run_time_ledger& ledger = own.run_times_;
        shard_id const&  shard = context.owned_.key(row);
        if (own.phase_ != owned_phase::serving || may_be_released(own))
        {
            continue;
        }
        if (!own.releasing_)
        {
            ledger.last_written_ = false; // a release may have been taken back
            load_run_times(context, shard, own);
        }
        bool const last = own.releasing_ && !ledger.last_written_;
        if (!last && ledger.share_at_ > context.now_)
        {
            wake_at(context, ledger.share_at_);
            continue;
        }
        std::vector<plan::run_time_row> const rows =
            plan::list_run_times(*own.planner_);
        if (ledger.share_at_ <= context.now_)
        {
            ledger.share_at_ = context.now_.after(share_micros);
            fill_batch(context, ledger, rows);
            plan::post_event(*own.planner_, plan::run_times_shared{
                                                list_others(context, shard)});
        }
        wake_at(context, ledger.share_at_);
        if (!ledger.loaded_ || ledger.request_ != 0 ||
            (!last && ledger.write_at_ > context.now_))
        {
            continue;
        }
        ledger.last_written_ = own.releasing_;
        if (find_latest(rows) > ledger.stored_unix_ms_)
        {
            log_errors(context, shard, own, rows.size());
            write_run_times_row(context, shard, own, rows);
        }
    }
}

} // namespace fescuevane::cell
