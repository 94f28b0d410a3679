// Purpose: index of the rows of a table by a property. Internal to the
// package.
#ifndef FESCUEVANE_PLAN_ROW_GROUPS_HPP
#define FESCUEVANE_PLAN_ROW_GROUPS_HPP

#include <algorithm>
#include <cstddef>
#include <span>
#include <unordered_map>
#include <vector>

namespace fescuevane::plan
{

// Maps each value of the property to its row numbers in ascending order. Made
// for a table that appends rows at the end and removes one by moving the last
// row into its place.
template <typename Property>
class row_groups
{
public:
    // Rows with the property, in the order of the table.
    std::span<std::size_t const> find(Property const& property) const
    {
        auto const group = groups_.find(property);
        return group == groups_.end() ? std::span<std::size_t const>()
                                      : group->second;
    }

    void add(Property const& property, std::size_t row)
    {
        std::vector<std::size_t>& rows = groups_[property];
        rows.insert(std::lower_bound(rows.begin(), rows.end(), row), row);
    }

    void remove(Property const& property, std::size_t row)
    {
        auto const group = groups_.find(property);
        if (group == groups_.end())
        {
            return;
        }
        std::vector<std::size_t>& rows = group->second;
        auto const at = std::lower_bound(rows.begin(), rows.end(), row);
        if (at != rows.end() && *at == row)
        {
            rows.erase(at);
        }
        if (rows.empty())
        {
            groups_.erase(group);
        }
    }

private:
    std::unordered_map<Property, std::vector<std::size_t>> groups_;
};

} // namespace fescuevane::plan

#endif
