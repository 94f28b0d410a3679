// Purpose: division of a gang over several shards. Internal to the package.
#ifndef FESCUEVANE_CELL_GANG_SHARES_HPP
#define FESCUEVANE_CELL_GANG_SHARES_HPP

#include <cstdint>
#include <vector>

namespace fescuevane::cell
{

struct gang_share;
struct shard_offer;

// Shards that together could run a gang of `count` tasks, and how many each.
// Free room is used first, on as few shards as hold it; the rest is divided by
// what the shards could run once other work has ended, so that each waits for a
// small part of its targets only. Empty when they can't run all of it.
std::vector<gang_share> divide_gang(std::vector<shard_offer> offers,
                                    std::uint32_t            count);

// Tasks of the gang that have room now, and that could once work has ended.
std::uint64_t sum_free(std::vector<shard_offer> const& offers);
std::uint64_t sum_later(std::vector<shard_offer> const& offers);

} // namespace fescuevane::cell

#endif
