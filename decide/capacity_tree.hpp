// Purpose: finds targets with enough free capacity without a scan.
#ifndef FESCUEVANE_DECIDE_CAPACITY_TREE_HPP
#define FESCUEVANE_DECIDE_CAPACITY_TREE_HPP

#include "core/resources.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace fescuevane::decide
{

// A segment tree over the rows of the target table. An inner node holds the
// component-wise largest room below it, so a search descends only where the
// demand may fit: O(log n) for targets of similar shape.
class capacity_tree
{
public:
    // Sets the room of a row; a row that takes no work has negative room.
    void set_room(std::size_t row, resources const& room);

    // First row at or after `from` whose room holds `demand`.
    std::optional<std::size_t> find_fit(resources const& demand,
                                        std::size_t      from) const;

    // Component-wise largest room of all rows.
    resources largest() const;

private:
    std::optional<std::size_t> search(std::size_t node, std::size_t low,
                                      std::size_t width, std::size_t from,
                                      resources const& demand) const;
    void                       grow(std::size_t rows);

    std::size_t            leaves_ = 0; // a power of two, or 0
    std::vector<resources> nodes_;      // node 1 is the root
};

// Room of a row that takes no work.
constexpr resources no_room = resources(-1, -1, -1);

} // namespace fescuevane::decide

#endif
