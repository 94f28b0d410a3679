// Purpose: system: chooses whose claim to an organisation's limit is served.
//
// Shards tell claims of work above their parts with their loads. The earliest
// claim of an organisation is served first. All owners see the same claims, so
// they make room for the same one; while they disagree, each still keeps within
// its own part. Other shards leave unused, and give, what the claim lacks. Its
// own shard gives nothing until the work has started or its turn has passed.
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

// A claim of an owner that is gone, or that can't see the rows of the store,
// would keep room from others for nothing.
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
    std::map<organisation_id, active_limit_claim> turns;
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
            auto const first = turns.find(load.organisation_);
            if (first == turns.end() ||
                is_earlier(*load.claim_, shard, first->second))
            {
                turns[load.organisation_] = {
                    .shard_ = shard,
                    .since_unix_ms_ = load.claim_->since_unix_ms_,
                    .wanted_ = measure_part(load.used_ + load.claim_->demand_,
                                            *limit)};
            }
        }
    }
    return turns;
}

// Each turn is logged once, by the owner of its shard.
void log_active_claims(
    node& context, std::map<organisation_id, active_limit_claim> const& turns)
{
    for (auto const& [organisation, turn] : turns)
    {
        auto const before = context.turns_.find(organisation);
        bool const is_new =
            before == context.turns_.end() ||
            std::pair(before->second.shard_, before->second.since_unix_ms_) !=
                std::pair(turn.shard_, turn.since_unix_ms_);
        if (is_new && context.owned_.contains(turn.shard_))
        {
            log_event(context, "limit_turn",
                      {{"organisation", organisation.str()},
                       {"shard", write_shard_name(turn.shard_)},
                       {"wanted", std::to_string(turn.wanted_)}});
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
    // Without the store no part can move, so nothing is kept unused for it.
    auto turns = context.store_ok_
                     ? find_active_claims(context)
                     : std::map<organisation_id, active_limit_claim>();
    if (turns == context.turns_)
    {
        return;
    }
    log_active_claims(context, turns);
    context.turns_ = std::move(turns);
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        set_policies(context, context.owned_.key(row));
    }
}

// 2. Parts

std::int64_t count_lacking(node const& context, active_limit_claim const& turn,
                           organisation_id const& organisation)
{
    return std::max<std::int64_t>(
        0, turn.wanted_ - stored_part(context, turn.shard_, organisation));
}

resources find_withheld(node const& context, shard_id const& shard,
                        organisation_share const& share)
{
    auto const turn = context.turns_.find(share.id_);
    if (turn == context.turns_.end() || turn->second.shard_ == shard)
    {
        return {};
    }
    std::int64_t const lacking =
        count_lacking(context, turn->second, share.id_);
    return lacking == 0 ? resources() : scale_limit(share.limit_, lacking);
}

} // namespace fescuevane::cell
