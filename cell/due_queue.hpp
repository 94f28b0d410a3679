// Purpose: keys in the order in which they are due.
#ifndef FESCUEVANE_CELL_DUE_QUEUE_HPP
#define FESCUEVANE_CELL_DUE_QUEUE_HPP

#include "core/instant.hpp"

#include <set>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

// Lets a tick touch only what is due. An entry stays when what it was added
// for is over, so whoever takes a key looks whether something is due there.
template <typename Key>
class due_queue
{
public:
    void add(instant due, Key const& key) { entries_.emplace(due, key); }

    // Takes the keys that are due, in order.
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

    // Drops entries at the front that aren't wanted any more.
    template <typename Predicate>
    void drop_front(Predicate over)
    {
        while (!entries_.empty() &&
               over(entries_.begin()->first, entries_.begin()->second))
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
