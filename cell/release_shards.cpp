// Purpose: system: hands shards over: all of them on a stop, and those that
// another host should own.
//
// Index of sections
//   1. Choice of a successor
//   2. Balance
//   3. Handing over
#include "cell/node.hpp"

#include "cell/records.hpp"

#include <algorithm>
#include <optional>

namespace fescuevane::cell
{
namespace
{

// 1. Choice of a successor

std::size_t count_owned(node const& context, host_id const& host)
{
    return static_cast<std::size_t>(
        std::count_if(context.shards_.begin(), context.shards_.end(),
                      [&host](shard_row const& shard)
                      {
                          return shard.owner_ == host && !shard.released_;
                      }));
}

bool can_own(node const& context, host_id const& id, host_row const& host)
{
    return id != context.settings_.host_ && !host.stopping_ && host.heard_ &&
           host.store_ok_ && !is_silent(context, host.heard_at_);
}

// The host that owns least goes first, then one of the shard's failure domain,
// then the largest.
host_id choose_successor(node const& context, shard_id const& shard)
{
    host_id best;
    double  best_rank = 0;
    for (std::size_t row = 0; row < context.hosts_.size(); ++row)
    {
        host_id const&  id = context.hosts_.key(row);
        host_row const& host = context.hosts_[row];
        if (!can_own(context, id, host))
        {
            continue;
        }
        constexpr double owned_penalty = 2000;
        constexpr double domain_bonus = 1000;
        double const     rank =
            host.cpu_share_ +
            (host.domain_ == shard.domain_ ? domain_bonus : 0) -
            owned_penalty * static_cast<double>(count_owned(context, id));
        if (best.empty() || rank > best_rank)
        {
            best = id;
            best_rank = rank;
        }
    }
    return best;
}

// 2. Balance

// A host that owns nothing and should own the shard in place of this one: it is
// of the shard's failure domain, or this host owns several shards. Failures in
// a row leave one host with all shards, which is more than it can serve.
std::optional<host_id> find_better_owner(node const&     context,
                                         shard_id const& shard)
{
    settings const& values = context.settings_;
    bool const      several = context.owned_.size() > 1;
    bool const      foreign = shard.domain_ != values.domain_;
    host_id const   best = choose_successor(context, shard);
    host_row const* host = best.empty() ? nullptr : context.hosts_.find(best);
    if (host == nullptr || count_owned(context, best) > 0 ||
        host->listed_at_.after(values.balance_micros_) > context.now_)
    {
        return std::nullopt; // it has just started
    }
    double const share =
        values.cpu_share_ / static_cast<double>(context.owned_.size() + 1);
    bool const wanted =
        foreign ? several || host->domain_ == shard.domain_ : several;
    return wanted && host->cpu_share_ >= share ? std::optional(best)
                                               : std::nullopt;
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

void release_shard(node& context, shard_id const& shard, owned_row& own)
{
    if (own.request_ != 0 || own.allotment_request_ != 0 ||
        !is_journal_clean(own))
    {
        return;
    }
    host_id const successor = choose_successor(context, shard);
    if (successor.empty() && !context.stopping_)
    {
        own.releasing_ = false; // nobody is left to take it
        return;
    }
    own.request_ = write_owner_row(context, shard, 0, request_kind::release,
                                   true, successor);
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
        own.releasing_ = own.releasing_ || context.stopping_;
        if (own.releasing_ && !context.store_ok_ && !context.stopping_ &&
            own.request_ == 0)
        {
            own.releasing_ = false; // it can't be told
        }
        if (own.releasing_)
        {
            release_shard(context, shard, own);
        }
    }
}

void apply(node& context, stop_requested const& /*input*/)
{
    if (!context.stopping_)
    {
        context.stopping_ = true;
        log_event(context, "stopping", {});
        context.beat_at_ = context.now_; // tell the others at once
        for (host_row& host : context.hosts_)
        {
            host.beat_after_ = context.now_;
        }
    }
}

} // namespace fescuevane::cell
