// Purpose: a table of entities, one mutable row a key.
#ifndef FESCUEVANE_CORE_TABLE_HPP
#define FESCUEVANE_CORE_TABLE_HPP

#include "core/row_index.hpp"

#include <cstddef>
#include <utility>
#include <vector>

namespace fescuevane
{

// Dense rows found by key. Pointers to rows and row numbers are valid until the
// next append or removal; what has to last is stored as a key.
template <typename Key, typename Row>
class table
{
public:
    std::size_t             size() const { return rows_.size(); }
    bool                    empty() const { return rows_.empty(); }
    std::vector<Key> const& keys() const { return index_.keys(); }
    Key const& key(std::size_t row) const { return index_.key(row); }

    Row&       operator[](std::size_t row) { return rows_[row]; }
    Row const& operator[](std::size_t row) const { return rows_[row]; }

    bool contains(Key const& key) const { return index_.contains(key); }

    // Null when the key has no row.
    Row* find(Key const& key)
    {
        auto const row = index_.find(key);
        return row ? &rows_[*row] : nullptr;
    }
    Row const* find(Key const& key) const
    {
        auto const row = index_.find(key);
        return row ? &rows_[*row] : nullptr;
    }

    // The row of the key, appended first when there is none.
    Row& ensure(Key const& key)
    {
        if (Row* const row = find(key))
        {
            return *row;
        }
        index_.append(key);
        return rows_.emplace_back();
    }

    bool remove(Key const& key)
    {
        auto const row = index_.find(key);
        if (!row)
        {
            return false;
        }
        index_.remove_by_moving_last(*row);
        if (*row + 1 != rows_.size())
        {
            rows_[*row] = std::move(rows_.back());
        }
        rows_.pop_back();
        return true;
    }

    void clear()
    {
        index_ = row_index<Key>();
        rows_.clear();
    }

    auto begin() { return rows_.begin(); }
    auto end() { return rows_.end(); }
    auto begin() const { return rows_.begin(); }
    auto end() const { return rows_.end(); }

private:
    row_index<Key>   index_;
    std::vector<Row> rows_;
};

} // namespace fescuevane

#endif
