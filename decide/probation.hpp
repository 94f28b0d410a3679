// Purpose: tells targets that fail every job from jobs that fail everywhere.
#ifndef FESCUEVANE_DECIDE_PROBATION_HPP
#define FESCUEVANE_DECIDE_PROBATION_HPP

#include "core/ids.hpp"

#include <cstddef>

namespace fescuevane::decide
{

struct scheduler;

// Counts an end of a task of `job` that nobody asked for.
void note_task_end(scheduler& context, std::size_t job, target_id const& target,
                   bool failed);

// Lets a target take work again; one more failure sends it back.
void end_probation(scheduler& context, std::size_t target);

} // namespace fescuevane::decide

#endif
