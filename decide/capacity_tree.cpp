// Purpose: updates and searches of the capacity tree.
#include "decide/capacity_tree.hpp"

#include <algorithm>

namespace fescuevane::decide
{

void capacity_tree::grow(std::size_t rows)
{
    std::size_t leaves = std::max<std::size_t>(leaves_, 1);
    while (leaves < rows)
    {
        leaves *= 2;
    }
    std::vector<resources> nodes(2 * leaves, no_room);
    for (std::size_t row = 0; row < leaves_; ++row)
    {
        nodes[leaves + row] = nodes_[leaves_ + row];
    }
    for (std::size_t node = leaves - 1; node > 0; --node)
    {
        nodes[node] = max(nodes[2 * node], nodes[2 * node + 1]);
    }
    leaves_ = leaves;
    nodes_ = std::move(nodes);
}

void capacity_tree::set_room(std::size_t row, resources const& room)
{
    if (row >= leaves_)
    {
        grow(row + 1);
    }
    std::size_t node = leaves_ + row;
    nodes_[node] = room;
    for (node /= 2; node > 0; node /= 2)
    {
        resources const largest = max(nodes_[2 * node], nodes_[2 * node + 1]);
        if (largest == nodes_[node])
        {
            break;
        }
        nodes_[node] = largest;
    }
}

std::optional<std::size_t>
capacity_tree::search(std::size_t node, std::size_t low, std::size_t width,
                      std::size_t from, resources const& demand) const
{
    if (low + width <= from || !demand.fits_in(nodes_[node]))
    {
        return std::nullopt;
    }
    if (width == 1)
    {
        return low;
    }
    std::size_t const half = width / 2;
    if (auto const row = search(2 * node, low, half, from, demand))
    {
        return row;
    }
    return search(2 * node + 1, low + half, half, from, demand);
}

std::optional<std::size_t> capacity_tree::find_fit(resources const& demand,
                                                   std::size_t      from) const
{
    return leaves_ == 0 ? std::nullopt : search(1, 0, leaves_, from, demand);
}

resources capacity_tree::largest() const
{
    return leaves_ == 0 ? no_room : nodes_[1];
}

} // namespace fescuevane::decide
