// Purpose: orders of hosts for writes that any of them could do.
#include "core/hashing.hpp"
#include "state/control.hpp"
#include "state/host_load.hpp"

#include <algorithm>
#include <numeric>

namespace fescuevane::state
{

std::uint32_t host_load::count_all() const
{
    return std::accumulate(shards_.begin(), shards_.end(), std::uint32_t{0},
                           [](std::uint32_t sum, auto const& entry)
                           {
                               return sum + entry.second;
                           });
}

std::vector<host_id> order_hosts(std::vector<host_id> hosts,
                                 std::string const&   subject)
{
    std::uint64_t const seed = compute_stable_hash(subject);
    auto const          weigh = [seed](host_id const& host)
    {
        return compute_stable_hash(host.str(), seed);
    };
    std::sort(hosts.begin(), hosts.end(),
              [&weigh](host_id const& a, host_id const& b)
              {
                  return std::pair(weigh(a), a) > std::pair(weigh(b), b);
              });
    return hosts;
}

std::int64_t rank_self(control const& context, std::string const& subject)
{
    std::vector<host_id> hosts = {context.settings_.host_};
    peer_table const&    peers = context.peers_;
    for (std::size_t row = 0; row < peers.index_.size(); ++row)
    {
        if (peers.live_[row] != 0 && peers.leaving_[row] == 0)
        {
            hosts.push_back(peers.index_.key(row));
        }
    }
    hosts = order_hosts(std::move(hosts), subject);
    return std::find(hosts.begin(), hosts.end(), context.settings_.host_) -
           hosts.begin();
}

} // namespace fescuevane::state
