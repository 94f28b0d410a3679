// Purpose: system: limits the long requests to the policy service that each
// planner may have in flight.
//
// The service handles one request of each host at a time, and hosts that own
// nothing send the long ones. So the limit is the number of these hosts for
// each shard. A fixed limit leaves most of them idle in a large cell, while
// tasks wait for tickets beside free targets.
#include "cell/node.hpp"

#include "plan/advice_limit_changed.hpp"

#include <algorithm>
#include <set>

namespace fescuevane::cell
{
namespace
{

constexpr std::int64_t count_interval_micros = 1'000'000;

// A stage keeps room from worse-ranked ones while its request is in flight, so
// a shard of about 60 targets has use for few requests.
constexpr std::size_t max_long_requests = 16;

std::size_t count_idle_hosts(node const& context)
{
    std::set<host_id> owners;
    for (shard_row const& shard : context.shards_)
    {
        if (!shard.released_)
        {
            owners.insert(shard.owner_);
        }
    }
    std::size_t idle = 0;
    for (std::size_t row = 0; row < context.hosts_.size(); ++row)
    {
        host_id const&  id = context.hosts_.key(row);
        host_row const& host = context.hosts_[row];
        bool const      answers = host.heard_ && !host.stopping_ &&
                             !is_unresponsive(context, host.heard_at_);
        idle += id != context.settings_.host_ && answers && !owners.contains(id)
                    ? 1
                    : 0;
    }
    return idle;
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
    std::size_t const share = count_idle_hosts(context) /
                              std::max<std::size_t>(1, context.shards_.size());
    auto const limit = static_cast<std::uint32_t>(std::clamp<std::size_t>(
        share, context.settings_.plan_.max_long_requests_, max_long_requests));
    for (owned_row& own : context.owned_)
    {
        if (own.planner_ && own.advice_limit_ != limit)
        {
            own.advice_limit_ = limit;
            plan::post_event(*own.planner_, plan::advice_limit_changed{limit});
            own.plan_needed_ = true;
        }
    }
}

} // namespace fescuevane::cell
