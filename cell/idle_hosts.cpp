// Purpose: hosts that can query the policy service for owners.
#include "cell/idle_hosts.hpp"

#include "cell/node.hpp"

#include <algorithm>

namespace fescuevane::cell
{

bool is_usable(node const& context, host_row const& host)
{
    return host.heard_ && !host.stopping_ &&
           !is_unresponsive(context, host.heard_at_);
}

bool owns_shard(node const& context, host_id const& host)
{
    return std::any_of(context.shards_.begin(), context.shards_.end(),
                       [&host](shard_row const& shard)
                       {
                           return shard.owner_ == host && !shard.released_;
                       });
}

std::set<host_id> list_idle_hosts(node const& context)
{
    std::set<host_id> owners;
    for (shard_row const& shard : context.shards_)
    {
        if (!shard.released_)
        {
            owners.insert(shard.owner_);
        }
    }
    std::set<host_id> idle;
    for (std::size_t row = 0; row < context.hosts_.size(); ++row)
    {
        host_id const& id = context.hosts_.key(row);
        if (id != context.settings_.host_ && !owners.contains(id) &&
            is_usable(context, context.hosts_[row]))
        {
            idle.insert(id);
        }
    }
    return idle;
}

} // namespace fescuevane::cell
