// Purpose: max-min fair division of a capacity.
#include "cell/fair_shares.hpp"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace fescuevane::cell
{

std::vector<std::uint32_t>
divide_fairly(std::vector<std::uint32_t> const& demands, std::uint32_t capacity)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(),
                     [&demands](std::size_t a, std::size_t b)
                     {
                         return demands[a] < demands[b];
                     });
    std::vector<std::uint32_t> shares(demands.size());
    auto                       left = static_cast<std::uint32_t>(order.size());
    for (std::size_t const row : order)
    {
        shares[row] = std::min(demands[row], capacity / left--);
        capacity -= shares[row];
    }
    return shares;
}

} // namespace fescuevane::cell
