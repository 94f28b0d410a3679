// Purpose: one running task whose capacity is being taken back.
#ifndef FESCUEVANE_DECIDE_RECLAIM_ENTRY_HPP
#define FESCUEVANE_DECIDE_RECLAIM_ENTRY_HPP

#include "core/instant.hpp"
#include "core/task_key.hpp"

namespace fescuevane::decide
{

// The task is throttled; it is stopped with a checkpoint at `stop_at_`, unless
// the capacity is no longer wanted by then.
struct reclaim_entry
{
    task_key task_;
    instant  stop_at_;

    friend bool operator==(reclaim_entry const&,
                           reclaim_entry const&) = default;
};

} // namespace fescuevane::decide

#endif
