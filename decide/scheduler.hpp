// Purpose: the context of a scheduler and the systems that run over it.
// Internal to the package; callers include decide.hpp.
#ifndef FESCUEVANE_DECIDE_SCHEDULER_HPP
#define FESCUEVANE_DECIDE_SCHEDULER_HPP

#include "core/instant.hpp"
#include "decide/command.hpp"
#include "decide/event.hpp"
#include "decide/job_table.hpp"
#include "decide/settings.hpp"
#include "decide/target_table.hpp"
#include "decide/task_table.hpp"

#include <string_view>
#include <vector>

namespace fescuevane::decide
{

struct scheduler
{
    settings const       settings_;
    std::vector<event>   inbox_;  // posted since the last tick
    std::vector<command> outbox_; // of the current tick
    instant              now_;    // of the current tick
    job_table            jobs_;
    task_table           tasks_;
    target_table         targets_;
};

// A step of the tick. Steps run in the order of `list_systems`.
struct system_entry
{
    std::string_view const name_;
    void (*const run_)(scheduler&);
};

// Systems, in order
void apply_events(scheduler& context);     // inbox to tables
void expire_deadlines(scheduler& context); // late jobs, results kept too long
void place_tasks(scheduler& context);      // queued tasks to targets

} // namespace fescuevane::decide

#endif
