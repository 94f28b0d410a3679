// Purpose: one field of a table, a cell per row.
#ifndef FESCUEVANE_CORE_COLUMN_HPP
#define FESCUEVANE_CORE_COLUMN_HPP

#include <cassert>
#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace fescuevane
{

// A dense column. Cells of immutable record types have no assignment, so a
// cell is replaced by constructing the new value in its place.
template <typename T>
class column
{
public:
    std::size_t size() const { return cells_.size(); }

    T const& operator[](std::size_t row) const
    {
        assert(row < cells_.size());
        return cells_[row];
    }

    T& operator[](std::size_t row)
    {
        assert(row < cells_.size());
        return cells_[row];
    }

    void append(T value) { cells_.push_back(std::move(value)); }

    void replace(std::size_t row, T value)
    {
        assert(row < cells_.size());
        T* const cell = std::addressof(cells_[row]);
        std::destroy_at(cell);
        std::construct_at(cell, std::move(value));
    }

    // Moves the last cell into `row` and drops the last one. The same call on
    // every column of a table keeps its rows together.
    void remove_by_moving_last(std::size_t row)
    {
        assert(row < cells_.size());
        if (row + 1 != cells_.size())
        {
            replace(row, std::move(cells_.back()));
        }
        cells_.pop_back();
    }

    auto begin() const { return cells_.begin(); }
    auto end() const { return cells_.end(); }

private:
    std::vector<T> cells_;
};

} // namespace fescuevane

#endif
