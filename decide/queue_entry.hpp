// Purpose: the place of a queued task within the queue of its team.
#ifndef FESCUEVANE_DECIDE_QUEUE_ENTRY_HPP
#define FESCUEVANE_DECIDE_QUEUE_ENTRY_HPP

#include "core/instant.hpp"
#include "core/task_key.hpp"

#include <compare>
#include <cstdint>

namespace fescuevane::decide
{

// Earliest deadline first, then first come. A gang has one entry, of task 0.
struct queue_entry
{
    instant       deadline_;
    std::uint64_t sequence_ = 0;
    task_key      task_;

    friend auto operator<=>(queue_entry const&, queue_entry const&) = default;
};

} // namespace fescuevane::decide

#endif
