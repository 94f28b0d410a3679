// Purpose: system: limits the long requests to the policy service that each
// planner may have in flight.
//
// The service handles one request of each host at a time, and hosts that own
// nothing send the long ones. So these hosts are divided among the shards, by
// the demand that their owners report. Each owner computes the same division
// from the heartbeats, and its result limits only the owner's shards.
#include "cell/node.hpp"

#include "cell/fair_shares.hpp"
#include "cell/idle_hosts.hpp"
#include "plan/advice_limit_changed.hpp"
#include "plan/wanted_requests.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace fescuevane::cell
{
namespace
{

constexpr std::int64_t count_interval_micros = 500'000;

// A stage keeps room from worse-ranked ones while its request is in flight, so
// a shard of about 60 targets has use for few requests.
constexpr std::uint32_t max_long_requests = 16;

// Counts what the planners of owned shards want, and starts a new count.
void count_wanted(node& context)
{
    for (owned_row& own : context.owned_)
    {
        if (own.planner_)
        {
            own.wanted_requests_ = std::max(
                own.most_requests_, plan::count_wanted_requests(*own.planner_));
            own.most_requests_ = plan::count_long_requests(*own.planner_);
        }
    }
}

// Long requests that the shard wants; empty if its owner doesn't report them.
std::optional<std::uint32_t> find_wanted(node const& context, std::size_t row)
{
    shard_row const&       shard = context.shards_[row];
    owned_row const* const own = context.owned_.find(context.shards_.key(row));
    if (own != nullptr)
    {
        return own->wanted_requests_;
    }
    host_row const* const owner = context.hosts_.find(shard.owner_);
    bool const            asks =
        shard.serving_ && owner != nullptr && is_usable(context, *owner);
    return asks ? shard.wanted_requests_ : std::optional<std::uint32_t>(0);
}

// The number of idle hosts for each shard, in the order of the table. What no
// shard wants is divided evenly, so that a new demand needn't wait for a count.
std::vector<std::uint32_t> divide_idle_hosts(node const& context)
{
    auto const idle =
        static_cast<std::uint32_t>(list_idle_hosts(context).size());
    auto const shards = static_cast<std::uint32_t>(
        std::max<std::size_t>(1, context.shards_.size()));
    std::vector<std::uint32_t> demands;
    std::uint32_t              reporting = 0;
    for (std::size_t row = 0; row < context.shards_.size(); ++row)
    {
        auto const wanted = find_wanted(context, row);
        reporting += wanted ? 1 : 0;
        // An owner of an earlier version uses an even share.
        demands.push_back(
            std::min(wanted.value_or(idle / shards), max_long_requests));
    }
    std::vector<std::uint32_t> shares = divide_fairly(demands, idle);
    std::uint32_t              spare = idle;
    for (std::uint32_t const share : shares)
    {
        spare -= share;
    }
    for (std::uint32_t& share : shares)
    {
        share += spare / std::max(1U, reporting);
    }
    return shares;
}

} // namespace

void limit_advice(node& context)
{
    if (context.owned_.empty())
    {
        return;
    }
    if (context.advice_limit_at_ > context.now_)
    {
        wake_at(context, context.advice_limit_at_);
        return;
    }
    context.advice_limit_at_ = context.now_.after(count_interval_micros);
    wake_at(context, context.advice_limit_at_);
    count_wanted(context);
    std::vector<std::uint32_t> const shares = divide_idle_hosts(context);
    for (std::size_t row = 0; row < context.shards_.size(); ++row)
    {
        owned_row* const own = context.owned_.find(context.shards_.key(row));
        if (own == nullptr || !own->planner_)
        {
            continue;
        }
        std::uint32_t const limit =
            std::max(context.settings_.plan_.max_long_requests_,
                     std::min(shares[row], max_long_requests));
        if (own->advice_limit_ != limit)
        {
            own->advice_limit_ = limit;
            plan::post_event(*own->planner_, plan::advice_limit_changed{limit});
            own->plan_needed_ = true;
        }
    }
}

} // namespace fescuevane::cell
