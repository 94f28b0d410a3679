// Purpose: system: finds what shards use of limits beyond their parts.
//
// The parts of a limit add up to it, but when an operator lowers the limit,
// each part shrinks at once and running work doesn't. Until that work ends, the
// other shards leave unused what it takes beyond its shard's part. They do so
// as soon as they know the new limit, with or without the store, and transfer
// their unused parts to that shard, so that its next owner and theirs read from
// the store what may be used.
#include "cell/node.hpp"

#include <algorithm>

namespace fescuevane::cell
{

namespace
{

// Unconfirmed work isn't counted: most of it doesn't run, and its shard starts
// nothing beside it.
std::int64_t measure_use(plan::organisation_load const& load,
                         resources const&               limit)
{
    return measure_part(load.used_ - load.unconfirmed_, limit);
}

// The part may have been transferred since the owner sent its report.
std::int64_t largest_part(node const& context, shard_id const& shard,
                          plan::organisation_load const& load)
{
    return std::max<std::int64_t>(
        load.part_, stored_part(context, shard, load.organisation_));
}

} // namespace

void find_excess_uses(node& context)
{
    if (context.find_excess_at_ > context.now_)
    {
        wake_at(context, context.find_excess_at_);
        return;
    }
    if (context.owned_.empty() || !context.config_)
    {
        return;
    }
    context.find_excess_at_ =
        context.now_.after(context.settings_.transfer_micros_);
    wake_at(context, context.find_excess_at_);
    decltype(context.excess_uses_) found;
    for (std::size_t row = 0; row < context.shards_.size(); ++row)
    {
        shard_id const& shard = context.shards_.key(row);
        for (plan::organisation_load const& load :
             context.shards_[row].load_.organisations_)
        {
            resources const* const limit =
                find_limit(context, load.organisation_);
            std::int64_t const use =
                limit == nullptr ? 0 : measure_use(load, *limit);
            if (use > largest_part(context, shard, load))
            {
                found[load.organisation_][shard] = use;
            }
        }
    }
    if (found == context.excess_uses_)
    {
        return;
    }
    context.excess_uses_ = std::move(found);
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        set_policies(context, context.owned_.key(row));
    }
}

std::int64_t find_usable_part(node const& context, shard_id const& shard,
                              organisation_id const& organisation)
{
    std::int64_t part = find_part(context, shard, organisation);
    auto const   uses = context.excess_uses_.find(organisation);
    if (uses != context.excess_uses_.end())
    {
        for (auto const& [other, use] : uses->second)
        {
            std::int64_t const excess =
                use - stored_part(context, other, organisation);
            part -= other == shard ? 0 : std::max<std::int64_t>(0, excess);
        }
    }
    return std::max<std::int64_t>(0, part);
}

} // namespace fescuevane::cell
