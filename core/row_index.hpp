// Purpose: finds the row of an entity by its key.
#ifndef FESCUEVANE_CORE_ROW_INDEX_HPP
#define FESCUEVANE_CORE_ROW_INDEX_HPP

#include <cassert>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace fescuevane
{

// Keys of a table's dense rows. Removal moves the last row into the gap, as
// `column::remove_by_moving_last` does; so a row number is valid only until
// the next removal, and what has to last is stored as a key.
template <typename Key>
class row_index
{
public:
    std::size_t             size() const { return keys_.size(); }
    Key const&              key(std::size_t row) const { return keys_[row]; }
    std::vector<Key> const& keys() const { return keys_; }

    std::optional<std::size_t> find(Key const& key) const
    {
        auto const found = rows_.find(key);
        return found == rows_.end() ? std::nullopt
                                    : std::optional<std::size_t>(found->second);
    }

    bool contains(Key const& key) const { return rows_.contains(key); }

    // Appends a row for a key that has none yet; returns its number.
    std::size_t append(Key const& key)
    {
        assert(!rows_.contains(key));
        rows_.emplace(key, keys_.size());
        keys_.push_back(key);
        return keys_.size() - 1;
    }

    void remove_by_moving_last(std::size_t row)
    {
        assert(row < keys_.size());
        rows_.erase(keys_[row]);
        if (row + 1 != keys_.size())
        {
            keys_[row] = keys_.back();
            rows_[keys_[row]] = row;
        }
        keys_.pop_back();
    }

private:
    std::vector<Key>                     keys_;
    std::unordered_map<Key, std::size_t> rows_;
};

} // namespace fescuevane

#endif
