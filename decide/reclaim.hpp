// Purpose: takes capacity back from running tasks.
#ifndef FESCUEVANE_DECIDE_RECLAIM_HPP
#define FESCUEVANE_DECIDE_RECLAIM_HPP

namespace fescuevane::decide
{

struct scheduler;

// Stops tasks of teams that use more than their allotment, until what is not
// being stopped fits.
void enforce_allotments(scheduler& context);

// Takes lent capacity back step by step: throttle, checkpoint, stop.
void reclaim_lent_capacity(scheduler& context);

} // namespace fescuevane::decide

#endif
