// Purpose: the system that claims shards without a live owner and hands owned
// ones over.
//
// Index of sections
//   1. Following the rows
//   2. Candidates
//   3. Claims
//   4. Handover
//   5. System
#include "core/names.hpp"
#include "state/control.hpp"
#include "state/host_load.hpp"
#include "state/owner_value.hpp"
#include "state/row_error.hpp"
#include "state/row_json.hpp"
#include "state/row_key.hpp"
#include "state/table_row.hpp"

#include <nlohmann/json.hpp>
#include <algorithm>
#include <utility>

namespace fescuevane::state
{

// 1. Following the rows

namespace
{

bool names_this_process(control const& context, std::size_t shard)
{
    return context.shards_.owner_[shard].host_ == context.settings_.host_ &&
           context.shards_.incarnation_[shard] ==
               context.settings_.incarnation_;
}

} // namespace

void follow_owner(control& context, std::size_t shard)
{
    shard_table& shards = context.shards_;
    epoch const  present = shards.owner_[shard].epoch_;
    bool const   own = names_this_process(context, shard);
    if (shards.phase_[shard] != shard_phase::foreign &&
        (!own || present != shards.served_epoch_[shard]))
    {
        release_shard(context, shard, "the shard has another owner");
    }
    if (own && shards.phase_[shard] == shard_phase::foreign &&
        present > shards.lost_epoch_[shard])
    {
        shards.phase_[shard] = shard_phase::loading;
        shards.served_epoch_[shard] = present;
        shards.ready_epoch_[shard] = 0;
    }
}

void release_shard(control& context, std::size_t shard,
                   std::string const& reason)
{
    shard_table&   shards = context.shards_;
    shard_id const id = shards.index_.key(shard);
    bool const     told = is_serving(shards, shard);
    shards.phase_[shard] = shard_phase::foreign;
    shards.lost_epoch_[shard] =
        std::max(shards.lost_epoch_[shard], shards.served_epoch_[shard]);
    shards.lost_at_[shard] = context.now_;
    shards.told_[shard].clear();
    shards.told_once_[shard] = 0;
    shards.load_number_[shard] = 0;
    context.shards_changed_ = true;
    drop_records(context, id, reason);
    drop_grants(context, id);
    drop_loads(context, id);
    commit_key const ack{.purpose_ = commit_purpose::ack, .shard_ = id};
    if (auto const row = context.commits_.index_.find(ack))
    {
        remove_commit(context.commits_, *row);
    }
    if (told)
    {
        context.outbox_.push_back(shard_released{id});
    }
}

namespace
{

std::vector<job_record> read_journal(control& context, shard_id const& shard,
                                     rows_read const& journal)
{
    std::vector<job_record> jobs;
    for (table_row const& row : journal.rows_)
    {
        try
        {
            if (!row.deleted_ && row.key_ != format_grant_key(shard))
            {
                jobs.push_back(read_job(shard, row.value_, context.now_));
            }
        }
        catch (nlohmann::json::exception const&)
        {
            ++context.malformed_rows_;
        }
        catch (row_error const&)
        {
            ++context.malformed_rows_;
        }
    }
    return jobs;
}

grant_record read_grant_row(control& context, shard_id const& shard,
                            rows_read const& journal)
{
    auto const row =
        std::find_if(journal.rows_.begin(), journal.rows_.end(),
                     [key = format_grant_key(shard)](table_row const& each)
                     {
                         return each.key_ == key && !each.deleted_;
                     });
    if (row == journal.rows_.end())
    {
        // Nothing runs before the first owner.
        return {.complete_ =
                    context.shards_
                        .served_epoch_[*context.shards_.index_.find(shard)] ==
                    1};
    }
    grant_record found = read_grants(row->value_);
    context.malformed_rows_ += found.complete_ ? 0 : 1;
    return found;
}

} // namespace

void finish_loading(control& context, shard_id const& shard,
                    rows_read const& journal)
{
    shard_table&      shards = context.shards_;
    std::size_t const row = ensure_shard(shards, shard);
    revision const    claimed =
        make_condition(context.rows_, format_shard_key(shard)).revision_;
    // A journal as of before the claim may miss rows of the previous owner.
    if (shards.phase_[row] != shard_phase::loading ||
        journal.revision_ < claimed)
    {
        return;
    }
    shards.phase_[row] = shard_phase::owned;
    context.changed_shards_.insert(shard);
    context.acks_changed_ = true;
    context.shards_changed_ = true;
    grant_record const grants = read_grant_row(context, shard, journal);
    load_grants(context, shard, grants);
    context.outbox_.push_back(
        shard_acquired{shard, shards.served_epoch_[row],
                       read_journal(context, shard, journal), grants});
}

// 2. Candidates

namespace
{

using host_loads = std::map<host_id, host_load>;

// This process, unless it stops, and the live hosts that don't leave.
host_loads list_candidates(control const& context)
{
    host_loads hosts;
    if (!context.stopping_)
    {
        hosts[context.settings_.host_].domain_ = context.settings_.domain_;
    }
    peer_table const& peers = context.peers_;
    for (std::size_t row = 0; row < peers.index_.size(); ++row)
    {
        if (peers.live_[row] != 0 && peers.leaving_[row] == 0)
        {
            hosts[peers.index_.key(row)].domain_ = peers.domain_[row];
        }
    }
    return hosts;
}

// A row that names this process while it doesn't serve the shard, after a
// restart or a fenced epoch, counts for nobody.
host_id find_holder(control const& context, std::size_t shard)
{
    commit_key const claim{.purpose_ = commit_purpose::claim,
                           .shard_ = context.shards_.index_.key(shard)};
    host_id const&   self = context.settings_.host_;
    host_id const&   owner = context.shards_.owner_[shard].host_;
    if (has_commit(context, claim))
    {
        return self;
    }
    bool const served =
        owner != self || context.shards_.phase_[shard] != shard_phase::foreign;
    return served ? owner : host_id();
}

host_loads count_loads(control const& context)
{
    host_loads hosts = list_candidates(context);
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        auto const holder = hosts.find(find_holder(context, row));
        if (holder != hosts.end())
        {
            ++holder->second.shards_[context.shards_.index_.key(row).domain_];
        }
    }
    return hosts;
}

std::uint32_t count_shards(control const& context, domain_id const* domain)
{
    auto const& keys = context.shards_.index_.keys();
    return static_cast<std::uint32_t>(
        std::count_if(keys.begin(), keys.end(),
                      [domain](shard_id const& shard)
                      {
                          return domain == nullptr || shard.domain_ == *domain;
                      }));
}

std::uint32_t divide_up(std::uint32_t amount, std::size_t parts)
{
    auto const divisor =
        static_cast<std::uint32_t>(std::max<std::size_t>(parts, 1));
    return (amount + divisor - 1) / divisor;
}

std::size_t count_domain_hosts(host_loads const& hosts, domain_id const& domain)
{
    return static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(),
                      [&domain](auto const& entry)
                      {
                          return entry.second.domain_ == domain;
                      }));
}

std::uint32_t find_fair_part(control const& context, host_loads const& hosts,
                             domain_id const& domain)
{
    return divide_up(count_shards(context, &domain),
                     count_domain_hosts(hosts, domain));
}

std::uint32_t count_owned(host_load const& load, domain_id const& domain)
{
    auto const found = load.shards_.find(domain);
    return found == load.shards_.end() ? 0 : found->second;
}

// Hosts below their fair part, best first: those of the shard's failure domain,
// or all others.
std::vector<host_id> rank_claimers(control const&    context,
                                   host_loads const& hosts,
                                   shard_id const& shard, bool in_domain)
{
    std::uint32_t const fair =
        in_domain ? find_fair_part(context, hosts, shard.domain_)
                  : divide_up(count_shards(context, nullptr), hosts.size());
    std::vector<host_id> ranked;
    for (auto const& [host, load] : hosts)
    {
        std::uint32_t const held =
            in_domain ? count_owned(load, shard.domain_) : load.count_all();
        if ((load.domain_ == shard.domain_) == in_domain && held < fair)
        {
            ranked.push_back(host);
        }
    }
    return order_hosts(std::move(ranked), format_key(shard));
}

// 3. Claims

// From then on hosts of the shard's failure domain may claim it.
instant find_claim_time(control const& context, std::size_t shard)
{
    shard_owner const& owner = context.shards_.owner_[shard];
    settings const&    values = context.settings_;
    instant const start = context.started_.after(values.start_delay_micros_);
    if (owner.host_.empty())
    {
        return start;
    }
    if (owner.host_ == values.host_)
    {
        // The row of an earlier process of this host can be replaced at once.
        return names_this_process(context, shard)
                   ? context.shards_.lost_at_[shard].after(
                         values.suspect_after_micros_)
                   : context.started_;
    }
    auto const peer = context.peers_.index_.find(owner.host_);
    return std::max(start, peer ? context.peers_.suspect_deadline_[*peer]
                                : context.now_);
}

void claim_shard(control& context, std::size_t shard)
{
    shard_id const    id = context.shards_.index_.key(shard);
    std::string const key = format_shard_key(id);
    settings const&   self = context.settings_;
    epoch const       next = std::max(context.shards_.owner_[shard].epoch_,
                                      context.shards_.lost_epoch_[shard]) +
                       1;
    open_commit(context, {.purpose_ = commit_purpose::claim, .shard_ = id},
                {make_condition(context.rows_, key)},
                {{key, write_owner({.host_ = self.host_,
                                    .domain_ = self.domain_,
                                    .address_ = self.address_,
                                    .incarnation_ = self.incarnation_,
                                    .epoch_ = next})}});
}

// Time at which this process claims the shard, `never` when others should. The
// best candidate is counted as its holder for the shards that follow.
instant plan_claim(control const& context, host_loads& hosts, std::size_t shard)
{
    settings const& values = context.settings_;
    shard_id const& id = context.shards_.index_.key(shard);
    instant const   base = find_claim_time(context, shard);
    bool const      in_domain = values.domain_ == id.domain_;
    auto const      ranked = rank_claimers(context, hosts, id, in_domain);
    auto const      own = std::find(ranked.begin(), ranked.end(), values.host_);
    instant const   due =
        own == ranked.end()
              ? instant::never()
              : base.after((own - ranked.begin()) * values.rank_delay_micros_ +
                           (in_domain ? 0 : values.foreign_claim_delay_micros_));
    auto const near =
        in_domain ? ranked : rank_claimers(context, hosts, id, true);
    if (due <= context.now_)
    {
        ++hosts[values.host_].shards_[id.domain_];
    }
    else if (base <= context.now_ && !near.empty())
    {
        ++hosts[near.front()].shards_[id.domain_];
    }
    return due;
}

// Shards without a live owner, in an order that all processes share.
std::vector<shard_id> list_claimable(control const& context)
{
    shard_table const&    shards = context.shards_;
    std::vector<shard_id> claimable;
    for (std::size_t row = 0; row < shards.index_.size(); ++row)
    {
        commit_key const claim{.purpose_ = commit_purpose::claim,
                               .shard_ = shards.index_.key(row)};
        if (shards.phase_[row] == shard_phase::foreign &&
            !has_commit(context, claim))
        {
            claimable.push_back(claim.shard_);
        }
    }
    std::sort(claimable.begin(), claimable.end());
    return claimable;
}

instant claim_due_shards(control& context)
{
    if (context.stopping_ || !context.store_.loaded_)
    {
        return instant::never();
    }
    instant    next = instant::never();
    host_loads hosts = count_loads(context);
    for (shard_id const& shard : list_claimable(context))
    {
        std::size_t const row = *context.shards_.index_.find(shard);
        instant const     due = plan_claim(context, hosts, row);
        if (due <= context.now_)
        {
            claim_shard(context, row);
        }
        else
        {
            next = std::min(next, due);
        }
    }
    return next;
}

// 4. Handover

// The incarnation of a successor has to be known: its row is written for it.
bool can_take_over(control const& context, host_id const& host)
{
    auto const row = context.peers_.index_.find(host);
    return row && context.peers_.incarnation_[*row] != 0 &&
           context.peers_.listed_[*row] != 0;
}

// The live host with the fewest shards, of the same failure domain if any.
host_id find_successor(control const& context, host_loads const& hosts,
                       domain_id const& domain)
{
    host_id                                         best;
    std::tuple<bool, std::uint32_t, host_id const*> rank{};
    for (auto const& [host, load] : hosts)
    {
        std::tuple const other(load.domain_ != domain, load.count_all(), &host);
        if (can_take_over(context, host) &&
            (best.empty() ||
             std::pair(std::get<0>(other), std::get<1>(other)) <
                 std::pair(std::get<0>(rank), std::get<1>(rank))))
        {
            best = host;
            rank = other;
        }
    }
    return best;
}

void begin_handover(control& context, std::size_t shard, host_id const& host)
{
    context.shards_.phase_[shard] = shard_phase::handing_over;
    context.shards_.successor_.replace(shard, host);
}

void commit_handover(control& context, std::size_t shard)
{
    shard_id const    id = context.shards_.index_.key(shard);
    host_id const     host = context.shards_.successor_[shard];
    std::size_t const peer = *context.peers_.index_.find(host);
    std::string const key = format_shard_key(id);
    open_commit(
        context, {.purpose_ = commit_purpose::handover, .shard_ = id},
        {make_condition(context.rows_, key)},
        {{key,
          write_owner({.host_ = host,
                       .domain_ = context.peers_.domain_[peer],
                       .address_ = context.peers_.address_[peer],
                       .incarnation_ = context.peers_.incarnation_[peer],
                       .epoch_ = context.shards_.served_epoch_[shard] + 1})}});
}

// The row is rewritten once the open commits that hold on it have ended:
// afterwards their condition would fail.
void advance_handovers(control& context)
{
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        shard_id const id = context.shards_.index_.key(row);
        if (context.shards_.phase_[row] == shard_phase::handing_over &&
            !has_commit(context,
                        {.purpose_ = commit_purpose::journal, .shard_ = id}) &&
            !has_commit(context,
                        {.purpose_ = commit_purpose::grant, .shard_ = id}) &&
            !has_commit(context,
                        {.purpose_ = commit_purpose::handover, .shard_ = id}))
        {
            commit_handover(context, row);
        }
    }
}

void remove_own_row(control& context)
{
    commit_key const  key{.purpose_ = commit_purpose::host,
                          .host_ = context.settings_.host_};
    std::string const row = format_host_key(context.settings_.host_);
    if (has_released_all(context) && !has_commit(context, key) &&
        make_condition(context.rows_, row).revision_ != 0)
    {
        open_commit(context, key, {}, {{row, "", true}});
    }
}

void hand_over_all(control& context)
{
    host_loads hosts = count_loads(context);
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        shard_phase const phase = context.shards_.phase_[row];
        domain_id const&  domain = context.shards_.index_.key(row).domain_;
        if (phase != shard_phase::owned && phase != shard_phase::loading)
        {
            continue;
        }
        host_id const successor = find_successor(context, hosts, domain);
        if (successor.empty())
        {
            release_shard(context, row, "this process stops");
            continue;
        }
        ++hosts[successor].shards_[domain];
        begin_handover(context, row, successor);
    }
    remove_own_row(context);
}

// A host that is better placed for an owned shard: one of its failure domain
// without any, or with room when this process is of another domain.
host_id find_better_owner(control const& context, host_loads const& hosts,
                          domain_id const& domain)
{
    settings const&     self = context.settings_;
    std::uint32_t const fair = find_fair_part(context, hosts, domain);
    bool const          at_home = self.domain_ == domain;
    auto const          own = hosts.find(self.host_);
    if (at_home &&
        (own == hosts.end() || count_owned(own->second, domain) <= fair))
    {
        return {};
    }
    for (auto const& [host, load] : hosts)
    {
        std::uint32_t const held = count_owned(load, domain);
        if (load.domain_ == domain && can_take_over(context, host) &&
            (at_home ? held == 0 : held < fair))
        {
            return host;
        }
    }
    return {};
}

// Gives away one shard at a time, so that few callers wait at once.
instant rebalance(control& context)
{
    if (context.rebalance_due_ > context.now_)
    {
        return context.rebalance_due_;
    }
    host_loads const hosts = count_loads(context);
    for (std::size_t row = 0; row < context.shards_.index_.size(); ++row)
    {
        if (context.shards_.phase_[row] != shard_phase::owned)
        {
            continue;
        }
        host_id const better = find_better_owner(
            context, hosts, context.shards_.index_.key(row).domain_);
        if (!better.empty())
        {
            begin_handover(context, row, better);
            context.rebalance_due_ =
                context.now_.after(context.settings_.rebalance_micros_);
            return context.rebalance_due_;
        }
    }
    return instant::never();
}

} // namespace

// 5. System

instant claim_shards(control& context)
{
    instant const planned = context.claims_due_;
    if (!context.shards_changed_ && planned > context.now_)
    {
        return planned;
    }
    context.shards_changed_ = false;
    context.claims_due_ = claim_due_shards(context);
    if (context.stopping_)
    {
        hand_over_all(context);
    }
    else
    {
        context.claims_due_ = std::min(context.claims_due_, rebalance(context));
    }
    advance_handovers(context);
    return context.claims_due_;
}

} // namespace fescuevane::state
