// Purpose: what the result of a commit means, one strategy a purpose.
#include "state/control.hpp"
#include "state/table_row.hpp"

#include <utility>

namespace fescuevane::state
{
namespace
{

struct commit_strategy
{
    std::string_view const name_;
    void (*const on_applied_)(control&, commit_key const&);
    void (*const on_conflict_)(control&, commit_key const&);
};

// The rows of the commit say it all.
void do_nothing(control& /*context*/, commit_key const& /*key*/) {}

void read_again(control& context, commit_key const& /*key*/)
{
    request_read(context);
}

// The only condition of these commits is the row of the own shard.
void lose_shard(control& context, commit_key const& key)
{
    auto const row = context.shards_.index_.find(key.shard_);
    if (row && context.shards_.phase_[*row] != shard_phase::foreign)
    {
        release_shard(context, *row, "the shard has another owner");
    }
    request_read(context);
}

void resume_shard(control& context, commit_key const& key)
{
    auto const row = context.shards_.index_.find(key.shard_);
    if (row && context.shards_.phase_[*row] == shard_phase::handing_over)
    {
        context.shards_.phase_[*row] = shard_phase::owned;
        mark_limited_teams(context, *context.effective_); // parts stood still
    }
    request_read(context);
}

void tell_committed(control& context, commit_key const& key)
{
    auto const row = context.filings_.index_.find(key.call_);
    if (!row)
    {
        return;
    }
    ticket_number const number = context.filings_.number_[*row];
    context.filings_.phase_[*row] = filing_phase::committed;
    context.filings_.text_[*row].clear();
    context.outbox_.push_back(
        ticket_progress{key.call_, number, ticket_stage::committed,
                        list_missing_domains(context, number), ""});
}

void tell_conflict(control& context, commit_key const& key)
{
    if (auto const row = context.filings_.index_.find(key.call_))
    {
        context.outbox_.push_back(
            ticket_progress{key.call_,
                            context.filings_.number_[*row],
                            ticket_stage::conflicting,
                            {},
                            "another ticket was committed with this number"});
        remove_filing(context.filings_, *row);
    }
    request_read(context);
}

// A burst of small changes of one team becomes one write.
constexpr std::int64_t allotment_pause_micros = 100'000;

void pause_team(control& context, commit_key const& key)
{
    std::size_t const row = ensure_allotment(context.allotments_, key.team_);
    context.allotments_.due_[row] = context.now_.after(allotment_pause_micros);
    context.changed_teams_.insert(key.team_);
}

void retry_team(control& context, commit_key const& key)
{
    std::size_t const row = ensure_allotment(context.allotments_, key.team_);
    context.allotments_.due_[row] = draw_backoff(context, 1);
    context.changed_teams_.insert(key.team_);
    request_read(context);
}

void settle_grants(control& context, commit_key const& key)
{
    end_grants(context, key.shard_);
}

void tell_records(control& context, shard_id const& shard, bool recorded,
                  std::string const& reason)
{
    auto const row = context.journals_.index_.find(shard);
    if (!row)
    {
        return;
    }
    auto const sent = std::exchange(context.journals_.sent_[*row], {});
    for (job_key const& job : sent)
    {
        context.outbox_.push_back(job_recorded{shard, job, recorded, reason});
    }
}

void tell_recorded(control& context, commit_key const& key)
{
    tell_records(context, key.shard_, true, "");
}

void tell_unrecorded(control& context, commit_key const& key)
{
    tell_records(context, key.shard_, false, "the shard has another owner");
    lose_shard(context, key);
}

// In the order of `commit_purpose`.
constexpr std::array<commit_strategy, commit_purpose_count> strategies = {{
    {"host", &do_nothing, &read_again},
    {"claim", &do_nothing, &read_again},
    {"handover", &do_nothing, &resume_shard},
    {"accept", &do_nothing, &read_again},
    {"ack", &do_nothing, &lose_shard},
    {"ticket", &tell_committed, &tell_conflict},
    {"grant", &settle_grants, &lose_shard},
    {"allotment", &pause_team, &retry_team},
    {"journal", &tell_recorded, &tell_unrecorded},
}};

void merge_writes(control& context, std::vector<row_write> const& writes,
                  revision written)
{
    for (row_write const& write : writes)
    {
        merge_row(context, {.key_ = write.key_,
                            .value_ = write.value_,
                            .revision_ = written,
                            .deleted_ = write.remove_});
    }
}

} // namespace

void end_commit(control& context, commit_ended const& result)
{
    commit_table& commits = context.commits_;
    auto const    found = commits.in_flight_.find(result.request_);
    if (found == commits.in_flight_.end())
    {
        return; // given up, or a reply to an earlier attempt
    }
    commit_key const  key = found->second;
    std::size_t const row = *commits.index_.find(key);
    auto const        writes = std::exchange(commits.writes_[row], {});
    remove_commit(commits, row);
    context.acks_changed_ = true;
    context.shards_changed_ = true;
    commit_strategy const& strategy =
        strategies.at(static_cast<std::size_t>(key.purpose_));
    if (result.applied_)
    {
        merge_writes(context, writes, result.revision_);
        strategy.on_applied_(context, key);
    }
    else
    {
        strategy.on_conflict_(context, key);
    }
}

} // namespace fescuevane::state
