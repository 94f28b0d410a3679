// Purpose: system: hands over shards: all of them on a stop, and those that
// another host is better suited to own.
//
// Index of sections
//   1. Choice of a successor
//   2. Balance
//   3. Handing over
#include "cell/node.hpp"

#include "cell/records.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace fescuevane::cell
{

// 1. Choice of a successor

bool is_eligible_successor(node const& context, host_id const& id,
                           host_row const& host)
{
    return id != context.settings_.host_ && !host.stopping_ && host.heard_ &&
           host.store_ok_ && !is_unresponsive(context, host.heard_at_);
}

namespace
{

// A shard of another failure domain costs its owner about twice the processor
// time: calls take longer, and callers of the domain are forwarded by other
// hosts.
constexpr double same_domain_factor = 2;

double rate_owner(shard_id const& shard, domain_id const& domain, double share)
{
    return share * (domain == shard.domain_ ? same_domain_factor : 1);
}

// The host with the largest remaining share of processor time for the shard.
host_id choose_successor(node const& context, shard_id const& shard)
{
    host_id best;
    double  best_rating = 0;
    for (std::size_t row = 0; row < context.hosts_.size(); ++row)
    {
        host_id const&  id = context.hosts_.key(row);
        host_row const& host = context.hosts_[row];
        if (!is_eligible_successor(context, id, host))
        {
            continue;
        }
        double const rating = rate_owner(
            shard, host.domain_,
            remaining_cpu_share(host.cpu_share_, count_owned(context, id)));
        if (best.empty() || rating > best_rating)
        {
            best = id;
            best_rating = rating;
        }
    }
    return best;
}

// 2. Balance

// Minimum gain of a move, as a factor; keeps shards from moving back and forth.
constexpr double min_gain = 1.2;

// The host that should own the shard instead of this one. After several
// failures one host may own more shards than it can serve.
std::optional<host_id> find_better_owner(node const&     context,
                                         shard_id const& shard)
{
    settings const& values = context.settings_;
    host_id const   best = choose_successor(context, shard);
    host_row const* host = best.empty() ? nullptr : context.hosts_.find(best);
    if (host == nullptr ||
        host->listed_at_.after(values.balance_micros_) > context.now_)
    {
        return std::nullopt; // the host has just started
    }
    double const present = rate_owner(
        shard, values.domain_,
        remaining_cpu_share(values.cpu_share_, context.owned_.size() - 1));
    double const expected = rate_owner(
        shard, host->domain_,
        remaining_cpu_share(host->cpu_share_, count_owned(context, best)));
    return expected >= min_gain * present ? std::optional(best) : std::nullopt;
}

bool is_handing_over(node const& context)
{
    return std::any_of(context.owned_.begin(), context.owned_.end(),
                       [](owned_row const& own)
                       {
                           return own.releasing_ ||
                                  own.phase_ != owned_phase::serving;
                       });
}

// One shard at a time; shards of other failure domains go first.
void balance_shards(node& context)
{
    if (context.balance_at_ > context.now_)
    {
        wake_at(context, context.balance_at_);
        return;
    }
    context.balance_at_ = context.now_.after(context.settings_.balance_micros_);
    wake_at(context, context.balance_at_);
    if (!context.store_ok_ || context.owned_.empty() ||
        is_handing_over(context))
    {
        return;
    }
    for (bool const foreign : {true, false})
    {
        for (std::size_t row = 0; row < context.owned_.size(); ++row)
        {
            shard_id const& shard = context.owned_.key(row);
            if ((shard.domain_ != context.settings_.domain_) != foreign)
            {
                continue;
            }
            if (auto const host = find_better_owner(context, shard))
            {
                log_event(context, "shard_moves",
                          {{"shard", write_shard_name(shard)},
                           {"successor", host->str()},
                           {"owned", std::to_string(context.owned_.size())}});
                context.owned_[row].releasing_ = true;
                return;
            }
        }
    }
}

// 3. Handing over

bool is_journal_clean(owned_row const& own)
{
    return std::all_of(own.parts_.begin(), own.parts_.end(),
                       [](journal_part const& part)
                       {
                           return part.dirty_.empty() && part.request_ == 0;
                       });
}

bool is_gang_start(plan::command const& order)
{
    auto const* const start = std::get_if<plan::start_run>(&order);
    return start != nullptr &&
           start->job_->steps_.at(start->run_.stage_.step_).gang_;
}

// Starts that weren't sent are dropped with the ownership. If some tasks of a
// gang had started already, they would wait for the others until their targets
// end them.
bool awaits_gang_starts(node const& context, shard_id const& shard)
{
    return std::any_of(context.sessions_.begin(), context.sessions_.end(),
                       [&shard](session_row const& session)
                       {
                           return session.open_ && session.shard_ == shard &&
                                  std::any_of(session.orders_.begin(),
                                              session.orders_.end(),
                                              &is_gang_start);
                       });
}

// Latest time at which a stopping host releases its shards: it has just enough
// time left to store its changes and the release.
instant find_latest_release(node const& context)
{
    return context.leave_at_ == instant::never()
               ? instant::never()
               : instant(context.leave_at_.micros() -
                         context.settings_.release_micros_);
}

// When all stops that the shard's targets accepted have ended. Never while an
// order to stop is in flight.
instant find_stops_end(node const& context, shard_id const& shard)
{
    instant end;
    for (session_row const& session : context.sessions_)
    {
        if (!session.open_ || session.shard_ != shard)
        {
            continue;
        }
        for (auto const& [key, run] : session.runs_)
        {
            if (run.stop_open_)
            {
                return instant::never();
            }
            if (run.stopped_at_ != instant::never())
            {
                end = std::max(end, run.stopped_at_.after(
                                        context.settings_.stop_taken_micros_));
            }
        }
    }
    return end;
}

// True while an order to stop the run may be executed, or is being executed.
bool is_stop_open(node const& context, session_run const& run)
{
    return run.stop_sent_ &&
           (run.stopped_at_ == instant::never() ||
            run.stopped_at_.after(context.settings_.stop_taken_micros_) >
                context.now_);
}

// Until when a release waits for stops: the next owner can't tell a task whose
// run is being stopped from one that isn't running.
instant find_stop_wait(node const& context, shard_id const& shard)
{
    return std::min(find_stops_end(context, shard),
                    find_latest_release(context));
}

// Until when a release waits for the last write of run times, which affect only
// the quality of estimates.
instant find_run_times_wait(node const& context)
{
    return context.leave_at_ == instant::never()
               ? instant::never()
               : instant(context.leave_at_.micros() -
                         context.settings_.release_micros_ / 2);
}

// A condition that delays a release.
struct release_wait
{
    char const* name_;
    bool (*holds_)(node const& context, shard_id const& shard,
                   owned_row const& own);
};

constexpr std::array<release_wait, 7> release_waits = {{
    {"owner_row",
     [](node const&, shard_id const&, owned_row const& own)
     {
         return own.request_ != 0;
     }},
    {"allotments",
     [](node const&, shard_id const&, owned_row const& own)
     {
         return own.allotment_request_ != 0;
     }},
    {"grants",
     [](node const&, shard_id const&, owned_row const& own)
     {
         return own.grants_.request_ != 0;
     }},
    {"run_times",
     [](node const& context, shard_id const&, owned_row const& own)
     {
         return awaits_run_times(context, own) &&
                find_run_times_wait(context) > context.now_;
     }},
    {"journal",
     [](node const&, shard_id const&, owned_row const& own)
     {
         return !is_journal_clean(own);
     }},
    {"gang_starts",
     [](node const& context, shard_id const& shard, owned_row const& own)
     {
         return !may_be_released(own) && awaits_gang_starts(context, shard);
     }},
    {"stops",
     [](node const& context, shard_id const& shard, owned_row const& own)
     {
         return !may_be_released(own) &&
                find_stop_wait(context, shard) > context.now_;
     }},
}};

void release_shard(node& context, shard_id const& shard, owned_row& own)
{
    if (std::any_of(release_waits.begin(), release_waits.end(),
                    [&](release_wait const& wait)
                    {
                        return wait.holds_(context, shard, own);
                    }))
    {
        instant const stop_wait = find_stop_wait(context, shard);
        if (stop_wait > context.now_)
        {
            wake_at(context, stop_wait);
        }
        instant const run_times_wait = find_run_times_wait(context);
        if (awaits_run_times(context, own) && run_times_wait > context.now_)
        {
            // The next tick writes them.
            wake_at(context, own.run_times_.request_ == 0 ? context.now_
                                                          : run_times_wait);
        }
        return;
    }
    host_id const successor = choose_successor(context, shard);
    if (successor.empty() && !context.stopping_ && !own.release_unconfirmed_)
    {
        own.releasing_ = false; // no host can take it over
        return;
    }
    if (own.parts_[0].retry_at_ > context.now_)
    {
        wake_at(context, own.parts_[0].retry_at_);
        return;
    }
    own.request_ = write_owner_row(context, shard, 0, request_kind::release,
                                   true, successor);
}

} // namespace

bool are_stops_over(node const& context, shard_id const& shard)
{
    return std::none_of(
        context.sessions_.begin(), context.sessions_.end(),
        [&](session_row const& session)
        {
            return session.open_ && session.shard_ == shard &&
                   (session.stops_until_ > context.now_ ||
                    std::any_of(session.runs_.begin(), session.runs_.end(),
                                [&context](auto const& entry)
                                {
                                    return is_stop_open(context, entry.second);
                                }));
        });
}

// While the shard is being served, `request_` can only be a release.
bool may_be_released(owned_row const& own)
{
    return own.release_unconfirmed_ ||
           (own.phase_ == owned_phase::serving && own.request_ != 0);
}

namespace
{

// A stopping host serves its shards until another host can take them over, or
// until the latest release.
bool is_release_due(node& context, shard_id const& shard)
{
    if (context.leave_at_ == instant::never() ||
        !choose_successor(context, shard).empty())
    {
        return true;
    }
    instant const latest = find_latest_release(context);
    wake_at(context, latest);
    return latest <= context.now_;
}

} // namespace

void release_shards(node& context)
{
    if (!context.stopping_)
    {
        balance_shards(context);
    }
    std::vector<shard_id> const owned = context.owned_.keys();
    for (shard_id const& shard : owned)
    {
        owned_row& own = *context.owned_.find(shard);
        if (context.stopping_ && own.phase_ != owned_phase::serving)
        {
            drop_shard(context, shard, "stopping before it was loaded");
            continue;
        }
        own.releasing_ = own.releasing_ ||
                         (context.stopping_ && is_release_due(context, shard));
        // A release without a reply may still take effect until another write
        // changes the row, so it is repeated and never revoked.
        if (own.releasing_ && !context.store_ok_ && !context.stopping_ &&
            !may_be_released(own))
        {
            own.releasing_ = false; // the release can't be stored
        }
        if (own.releasing_)
        {
            release_shard(context, shard, own);
        }
    }
}

std::vector<std::pair<std::string, std::string>>
describe_stop(node const& context)
{
    std::vector<std::pair<std::string, std::string>> waits = {
        {"shards", std::to_string(context.owned_.size())}};
    for (release_wait const& wait : release_waits)
    {
        std::size_t count = 0;
        for (std::size_t row = 0; row < context.owned_.size(); ++row)
        {
            count += wait.holds_(context, context.owned_.key(row),
                                 context.owned_[row])
                         ? 1
                         : 0;
        }
        if (count > 0)
        {
            waits.emplace_back(wait.name_, std::to_string(count));
        }
    }
    return waits;
}

void apply(node& context, stop_requested const& input)
{
    if (!context.stopping_)
    {
        context.stopping_ = true;
        context.leave_at_ = input.deadline_;
        cap_call_deadlines(context);
        log_event(context, "stopping", {});
        context.heartbeat_at_ = context.now_; // announces the stop at once
        for (host_row& host : context.hosts_)
        {
            host.next_heartbeat_at_ = context.now_;
        }
    }
}

} // namespace fescuevane::cell
