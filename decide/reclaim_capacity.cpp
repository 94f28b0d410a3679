// Purpose: the system that takes capacity back from teams above their
// allotment, and lent capacity from teams above their share.
#include "decide/reclaim.hpp"
#include "decide/scheduler.hpp"

namespace fescuevane::decide
{

void reclaim_capacity(scheduler& context)
{
    enforce_allotments(context);
    reclaim_lent_capacity(context);
}

} // namespace fescuevane::decide
