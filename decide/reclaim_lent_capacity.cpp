// Purpose: takes lent capacity back step by step.
#include "decide/reclaim.hpp"
#include "decide/scheduler.hpp"

namespace fescuevane::decide
{

void reclaim_lent_capacity(scheduler& /*context*/) {}

} // namespace fescuevane::decide
