// Purpose: the system that sends commits and reads to the platform, and their
// retries.
//
// Index of sections
//   1. Backoff
//   2. Commits
//   3. Reads
#include "state/control.hpp"
#include "state/row_key.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::state
{

// 1. Backoff

namespace
{

// The SplitMix64 generator; quality beyond spreading retries isn't needed.
std::uint64_t draw_random(store_client& store)
{
    std::uint64_t z = (store.random_ += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

} // namespace

std::int64_t draw_jitter(control& context, std::int64_t micros)
{
    auto const range =
        static_cast<std::uint64_t>(std::max<std::int64_t>(micros, 1));
    return 1 + static_cast<std::int64_t>(draw_random(context.store_) % range);
}

instant draw_backoff(control& context, std::uint32_t failures)
{
    settings const& values = context.settings_;
    // A shift of 20 exceeds every sensible bound without overflow.
    std::uint32_t const doublings =
        std::min<std::uint32_t>(failures > 0 ? failures - 1 : 0, 20);
    std::int64_t const delay =
        std::min(values.retry_delay_max_micros_,
                 values.retry_delay_micros_ << doublings);
    return context.now_.after(delay / 2 + draw_jitter(context, delay / 2));
}

// 2. Commits

bool has_commit(control const& context, commit_key const& key)
{
    return context.commits_.index_.contains(key);
}

void open_commit(control& context, commit_key const& key,
                 std::vector<row_condition> conditions,
                 std::vector<row_write>     writes)
{
    settings const&   self = context.settings_;
    std::string const id = self.host_.str() + ":" +
                           std::to_string(self.incarnation_) + ":" +
                           std::to_string(context.store_.next_commit_++);
    append_commit(context.commits_, key, id, std::move(conditions),
                  std::move(writes), context.now_);
}

void note_store_failure(control& context, std::uint64_t request)
{
    store_client& store = context.store_;
    if (request != 0 && request == store.read_request_)
    {
        store.read_request_ = 0;
        store.retry_due_ = draw_backoff(context, ++store.read_failures_);
        return;
    }
    commit_table& commits = context.commits_;
    auto const    found = commits.in_flight_.find(request);
    if (found == commits.in_flight_.end())
    {
        return;
    }
    std::size_t const row = *commits.index_.find(found->second);
    commits.in_flight_.erase(found);
    commits.request_[row] = 0;
    commits.due_[row] = draw_backoff(context, ++commits.failures_[row]);
}

namespace
{

// What decides who serves and which configuration is in force goes first.
bool is_urgent(commit_purpose purpose)
{
    return purpose < commit_purpose::allotment;
}

// Commits that are due, in the order in which the write budget serves them.
std::vector<commit_key> list_due_commits(control const& context)
{
    commit_table const&      commits = context.commits_;
    std::vector<std::size_t> rows;
    for (std::size_t row = 0; row < commits.index_.size(); ++row)
    {
        if (commits.request_[row] == 0 && commits.due_[row] <= context.now_)
        {
            rows.push_back(row);
        }
    }
    auto const rank = [&commits](std::size_t row)
    {
        commit_key const& key = commits.index_.key(row);
        return std::tuple(!is_urgent(key.purpose_), commits.due_[row],
                          std::cref(key));
    };
    std::sort(rows.begin(), rows.end(),
              [&rank](std::size_t a, std::size_t b)
              {
                  auto const [urgent_a, due_a, key_a] = rank(a);
                  auto const [urgent_b, due_b, key_b] = rank(b);
                  return std::tie(urgent_a, due_a, key_a.get()) <
                         std::tie(urgent_b, due_b, key_b.get());
              });
    std::vector<commit_key> keys;
    keys.reserve(rows.size());
    for (std::size_t const row : rows)
    {
        keys.push_back(commits.index_.key(row));
    }
    return keys;
}

void send_commit(control& context, commit_key const& key)
{
    commit_table&       commits = context.commits_;
    std::size_t const   row = *commits.index_.find(key);
    std::uint64_t const request = context.store_.next_request_++;
    commits.request_[row] = request;
    commits.in_flight_.emplace(request, key);
    context.outbox_.push_back(commit_rows{request, commits.commit_id_[row],
                                          commits.conditions_[row],
                                          commits.writes_[row]});
}

// A leaky bucket: a quarter of a second's budget may be sent at once.
bool take_budget(control& context)
{
    std::int64_t const interval =
        micros_per_second /
        std::max<std::int64_t>(context.settings_.commits_a_second_, 1);
    instant& next = context.store_.next_send_;
    if (next > context.now_.after(micros_per_second / 4))
    {
        return false;
    }
    next = std::max(next, context.now_).after(interval);
    return true;
}

instant send_commits(control& context)
{
    for (commit_key const& key : list_due_commits(context))
    {
        if (!take_budget(context))
        {
            return instant(context.store_.next_send_.micros() -
                           micros_per_second / 4);
        }
        send_commit(context, key);
    }
    instant next = instant::never();
    for (std::size_t row = 0; row < context.commits_.index_.size(); ++row)
    {
        if (context.commits_.request_[row] == 0)
        {
            next = std::min(next, context.commits_.due_[row]);
        }
    }
    return next;
}

// 3. Reads

void send_read(control& context, std::string prefix, revision after)
{
    context.store_.read_request_ = context.store_.next_request_++;
    context.outbox_.push_back(
        read_rows{context.store_.read_request_, std::move(prefix), after});
}

// A loading shard has no service, so its journal is read first.
bool send_journal_read(control& context)
{
    shard_table const& shards = context.shards_;
    for (std::size_t row = 0; row < shards.index_.size(); ++row)
    {
        if (shards.phase_[row] == shard_phase::loading)
        {
            context.store_.read_shard_ = shards.index_.key(row);
            send_read(context, format_journal_prefix(shards.index_.key(row)),
                      0);
            return true;
        }
    }
    return false;
}

instant send_reads(control& context)
{
    store_client& store = context.store_;
    if (store.read_request_ != 0)
    {
        return instant::never();
    }
    if (store.retry_due_ > context.now_)
    {
        return store.retry_due_;
    }
    store.read_shard_.reset();
    if (send_journal_read(context))
    {
        return instant::never();
    }
    if (store.read_due_ > context.now_)
    {
        return store.read_due_;
    }
    store.read_due_ =
        context.now_.after(context.settings_.read_interval_micros_);
    send_read(context, std::string(control_prefix), store.revision_);
    return instant::never();
}

} // namespace

void request_read(control& context)
{
    context.store_.read_due_ = context.now_;
}

instant exchange_rows(control& context)
{
    instant const commits = send_commits(context);
    return std::min(commits, send_reads(context));
}

} // namespace fescuevane::state
