// Purpose: queue of keys ordered by due time.
#ifndef FESCUEVANE_CELL_DUE_QUEUE_HPP
#define FESCUEVANE_CELL_DUE_QUEUE_HPP

#include "core/instant.hpp"

#include <set>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

// Lets a tick visit only what is due. Entries aren't removed when their reason
// no longer holds, so a caller that takes a key checks whether it is still due.
template <typename Key>
class due_queue
{
public:
    void add(instant due, Key const& key) { entries_.emplace(due, key); }

    // Removes and returns the keys that are due, in order.
    std::vector<Key> take(instant now)
    {
        std::vector<Key> keys;
        while (!entries_.empty() && entries_.begin()->first <= now)
        {
            keys.push_back(entries_.begin()->second);
            entries_.erase(entries_.begin());
        }
        return keys;
    }

    // Drops obsolete entries at the front.
    template <typename Predicate>
    void drop_front(Predicate is_obsolete)
    {
        while (!entries_.empty() &&
               is_obsolete(entries_.begin()->first, entries_.begin()->second))
        {
            entries_.erase(entries_.begin());
        }
    }

    instant next() const
    {
        return entries_.empty() ? instant::never() : entries_.begin()->first;
    }

private:
    std::set<std::pair<instant, Key>> entries_;
};

} // namespace fescuevane::cell

#endif
