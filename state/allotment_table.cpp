// Purpose: rows of the allotment table and sums over parts.
#include "state/allotment_table.hpp"

namespace fescuevane::state
{
namespace
{

// floor(amount * limit / sum) when the sum exceeds the limit. The product of
// two amounts needs more than 64 bits.
std::int64_t scale_amount(std::int64_t amount, std::int64_t limit,
                          std::int64_t sum)
{
    __extension__ using wide = __int128;
    return sum <= limit ? amount
                        : static_cast<std::int64_t>(static_cast<wide>(amount) *
                                                    limit / sum);
}

resources scale_resources(resources const& amount, resources const& limit,
                          resources const& sum)
{
    return {
        scale_amount(amount.cpu_millis(), limit.cpu_millis(), sum.cpu_millis()),
        scale_amount(amount.memory_mib(), limit.memory_mib(), sum.memory_mib()),
        scale_amount(amount.accelerators(), limit.accelerators(),
                     sum.accelerators())};
}

} // namespace

std::size_t ensure_allotment(allotment_table& table, team_id const& team)
{
    if (auto const row = table.index_.find(team))
    {
        return *row;
    }
    std::size_t const row = table.index_.append(team);
    table.parts_.append({});
    table.due_.append(instant());
    table.limit_.append({});
    return row;
}

resources sum_parts(part_map const& parts)
{
    resources sum;
    for (auto const& [shard, part] : parts)
    {
        sum = sum + part.part_;
    }
    return sum;
}

resources sum_ceilings(part_map const& parts)
{
    resources sum;
    for (auto const& [shard, part] : parts)
    {
        sum = sum + part.ceiling();
    }
    return sum;
}

part_map cap_parts(part_map const& parts, resources const& limit)
{
    resources const sum = sum_ceilings(parts);
    if (sum.fits_in(limit))
    {
        return parts;
    }
    part_map capped;
    for (auto const& [shard, part] : parts)
    {
        resources const ceiling = scale_resources(part.ceiling(), limit, sum);
        capped.emplace(
            shard,
            allotment_part{.part_ = part.part_,
                           .cap_ = ceiling == part.part_
                                       ? std::nullopt
                                       : std::optional<resources>(ceiling),
                           .want_ = part.want_});
    }
    return capped;
}

} // namespace fescuevane::state
