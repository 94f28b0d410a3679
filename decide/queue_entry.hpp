// Purpose: the place of a queued task within the queue of its team.
#ifndef FESCUEVANE_DECIDE_QUEUE_ENTRY_HPP
#define FESCUEVANE_DECIDE_QUEUE_ENTRY_HPP

#include "core/instant.hpp"
#include "core/resources.hpp"
#include "core/task_key.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace fescuevane::decide
{

// Earliest deadline first, then first come; sequences are unique. A gang has
// one entry, of task 0. The entry repeats what decides whether it may fit, so
// that entries without room are passed over without a look at their jobs.
struct queue_entry
{
    instant       deadline_;
    std::uint64_t sequence_ = 0;
    task_key      task_;
    resources     demand_;         // declared, of one task
    std::size_t   class_ = 0;      // row of its estimate
    std::uint32_t task_count_ = 1; // that start together

    friend bool operator==(queue_entry const& a, queue_entry const& b)
    {
        return a.sequence_ == b.sequence_;
    }
    friend auto operator<=>(queue_entry const& a, queue_entry const& b)
    {
        return std::pair(a.deadline_, a.sequence_) <=>
               std::pair(b.deadline_, b.sequence_);
    }
};

} // namespace fescuevane::decide

#endif
