// Purpose: system: chooses the active claim to each organisation's limit.
//
// Shards report claims of work above their parts with their loads. The earliest
// claim of an organisation is the active one. All owners see the same claims,
// so they free capacity for the same one; while their views differ, each still
// keeps within its own part. Other shards leave unused, and transfer, what the
// active claim lacks. Its own shard transfers nothing until the work has
// started or the claim isn't active any more.
//
// Index of sections
//   1. Choice
//   2. Parts
#include "cell/node.hpp"

#include "cell/records.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::cell
{

// 1. Choice

namespace
{

// Claims of an owner that is lost, or that can't read the rows of the store,
// are skipped: they would withhold capacity from others without any use.
bool is_served(node const& context, shard_id const& id, shard_row const& shard)
{
    if (context.out_.contains(id.domain_))
    {
        return false;
    }
    if (owned_row const* const own = context.owned_.find(id))
    {
        return own->phase_ == owned_phase::serving && !own->releasing_;
    }
    host_row const* const host = context.hosts_.find(shard.owner_);
    return shard.serving_ && !is_unresponsive(context, shard.confirmed_at_) &&
           (host == nullptr || (host->store_ok_ && !host->stopping_));
}

bool is_earlier(plan::limit_claim const& claim, shard_id const& shard,
                active_limit_claim const& other)
{
    return std::pair(claim.since_unix_ms_, shard) <
           std::pair(other.since_unix_ms_, other.shard_);
}

std::map<organisation_id, active_limit_claim>
find_active_claims(node const& context)
{
    std::map<organisation_id, active_limit_claim> claims;
    for (std::size_t row = 0; row < context.shards_.size(); ++row)
    {
        shard_id const& shard = context.shards_.key(row);
        if (!is_served(context, shard, context.shards_[row]))
        {
            continue;
        }
        for (plan::organisation_load const& load :
             context.shards_[row].load_.organisations_)
        {
            resources const* const limit =
                load.claim_ ? find_limit(context, load.organisation_) : nullptr;
            if (limit == nullptr || limit->is_zero())
            {
                continue;
            }
            auto const earliest = claims.find(load.organisation_);
            if (earliest == claims.end() ||
                is_earlier(*load.claim_, shard, earliest->second))
            {
                claims[load.organisation_] = {
                    .shard_ = shard,
                    .since_unix_ms_ = load.claim_->since_unix_ms_,
                    .wanted_ = measure_part(load.used_ + load.claim_->demand_,
                                            *limit)};
            }
        }
    }
    return claims;
}

// Each active claim is logged once, by the owner of its shard.
void log_active_claims(
    node& context, std::map<organisation_id, active_limit_claim> const& claims)
{
    for (auto const& [organisation, claim] : claims)
    {
        auto const previous = context.turns_.find(organisation);
        bool const is_new = previous == context.turns_.end() ||
                            std::pair(previous->second.shard_,
                                      previous->second.since_unix_ms_) !=
                                std::pair(claim.shard_, claim.since_unix_ms_);
        if (is_new && context.owned_.contains(claim.shard_))
        {
            log_event(context, "limit_turn",
                      {{"organisation", organisation.str()},
                       {"shard", write_shard_name(claim.shard_)},
                       {"wanted", std::to_string(claim.wanted_)}});
        }
    }
}

} // namespace

void choose_active_claims(node& context)
{
    if (context.choose_claims_at_ > context.now_)
    {
        wake_at(context, context.choose_claims_at_);
        return;
    }
    if (context.owned_.empty() || !context.config_)
    {
        return;
    }
    context.choose_claims_at_ =
        context.now_.after(context.settings_.transfer_micros_);
    wake_at(context, context.choose_claims_at_);
    // Without the store no part can be transferred, so none is withheld.
    auto claims = context.store_ok_
                      ? find_active_claims(context)
                      : std::map<organisation_id, active_limit_claim>();
    if (claims == context.turns_)
    {
        return;
    }
    log_active_claims(context, claims);
    context.turns_ = std::move(claims);
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        set_policies(context, context.owned_.key(row));
    }
}

// 2. Parts

std::int64_t count_lacking(node const& context, active_limit_claim const& claim,
                           organisation_id const& organisation)
{
    return std::max<std::int64_t>(
        0, claim.wanted_ - stored_part(context, claim.shard_, organisation));
}

resources find_withheld(node const& context, shard_id const& shard,
                        organisation_id const& organisation,
                        resources const&       limit)
{
    auto const active = context.turns_.find(organisation);
    if (active == context.turns_.end() || active->second.shard_ == shard)
    {
        return {};
    }
    std::int64_t const lacking =
        count_lacking(context, active->second, organisation);
    return lacking == 0 ? resources() : scale_limit(limit, lacking);
}

} // namespace fescuevane::cell
