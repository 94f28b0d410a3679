// Purpose: division of a gang over several shards. Internal to the package.
#ifndef FESCUEVANE_CELL_GANG_SHARES_HPP
#define FESCUEVANE_CELL_GANG_SHARES_HPP

#include <cstdint>
#include <optional>
#include <vector>

namespace fescuevane
{
struct shard_id;
} // namespace fescuevane

namespace fescuevane::cell
{

struct gang_share;
struct shard_offer;

// Assigns `count` tasks of a gang to shards. Uses free room first, on as few
// shards as possible. The rest is divided in proportion to what each shard
// could run once other work has ended, so that each waits for a small part of
// its targets only. Returns an empty list if the shards can't run all tasks.
std::vector<gang_share> divide_gang(std::vector<shard_offer> offers,
                                    std::uint32_t            count);

// Total tasks of the gang with room now, and once other work has ended.
std::uint64_t sum_free(std::vector<shard_offer> const& offers);
std::uint64_t sum_later(std::vector<shard_offer> const& offers);

// Shard with free room for all `count` tasks; none if the gang's own shard has
// it. The organisation may be above its allotment there, which follows the
// gang.
std::optional<shard_id>
find_room_for_all(std::vector<shard_offer> const& offers, shard_id const& own,
                  std::uint32_t count);

} // namespace fescuevane::cell

#endif
