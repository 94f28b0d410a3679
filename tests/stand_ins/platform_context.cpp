// Purpose: calls of the platform stand-in under faults.
#include "tests/stand_ins/platform_context.hpp"

namespace fescuevane::stand_ins
{
namespace
{

void count_applied(platform_counters&        counters,
                   state::commit_rows const& commit)
{
    ++counters.commits_applied_;
    counters.rows_written_ += commit.writes_.size();
    for (state::row_write const& write : commit.writes_)
    {
        counters.bytes_written_ += write.key_.size() + write.value_.size();
    }
}

void count_commit(platform_context& context, state::commit_rows const& commit,
                  bool is_repeated, bool is_applied)
{
    ++context.counters_.commits_;
    if (is_repeated)
    {
        ++context.counters_.commits_repeated_;
    }
    else if (is_applied)
    {
        count_applied(context.counters_, commit);
    }
    else
    {
        ++context.counters_.commits_conflicted_;
    }
}

bool loses_reply(platform_context& context)
{
    if (context.faults_.lose_next_commits_ > 0)
    {
        --context.faults_.lose_next_commits_;
        return true;
    }
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    return context.faults_.lose_fraction_ > 0.0 &&
           draw(context.random_) < context.faults_.lose_fraction_;
}

} // namespace

bool admit_store_call(platform_context& context)
{
    context.counters_.calls_failed_ += context.faults_.store_down_ ? 1 : 0;
    return !context.faults_.store_down_;
}

std::optional<state::rows_read> read_platform(platform_context&       context,
                                              state::read_rows const& read)
{
    if (!admit_store_call(context))
    {
        return std::nullopt;
    }
    state::rows_read result = list_rows(context.rows_, read);
    ++context.counters_.reads_;
    context.counters_.rows_read_ += result.rows_.size();
    return result;
}

std::optional<state::commit_ended>
commit_platform(platform_context& context, state::commit_rows const& commit)
{
    if (!admit_store_call(context))
    {
        return std::nullopt;
    }
    bool const repeated = is_known_commit(context.rows_, commit.commit_id_);
    state::commit_ended const result = apply_commit(context.rows_, commit);
    count_commit(context, commit, repeated, result.applied_);
    if (loses_reply(context))
    {
        ++context.counters_.replies_lost_;
        return std::nullopt;
    }
    return result;
}

std::optional<std::vector<host>> list_platform_hosts(platform_context& context,
                                                     instant           now)
{
    if (context.faults_.hosts_down_)
    {
        ++context.counters_.calls_failed_;
        return std::nullopt;
    }
    ++context.counters_.host_lists_;
    return list_hosts(context.hosts_, now);
}

} // namespace fescuevane::stand_ins
