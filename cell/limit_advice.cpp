// Purpose: system: tells the planners how many long requests to the policy
// service they may have in flight.
//
// The service handles one request of each host at a time. Hosts that own
// nothing send the long ones, so the shards of the cell share these hosts: with
// a fixed number most of them would be idle in a large cell, while tasks wait
// for tickets beside free targets.
#include "cell/node.hpp"

#include "plan/advice_limit_changed.hpp"

#include <algorithm>
#include <set>

namespace fescuevane::cell
{
namespace
{

constexpr std::int64_t count_interval_micros = 1'000'000;

// A planner with more requests than this in flight is likely to lose the room
// that it asks for before the replies arrive.
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
