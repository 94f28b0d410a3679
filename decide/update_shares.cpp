// Purpose: the system that keeps the decayed usage of teams.
#include "decide/scheduler.hpp"
#include "decide/shares.hpp"

#include <cmath>

namespace fescuevane::decide
{

void update_shares(scheduler& context)
{
    auto const elapsed = context.shares_updated_.remaining_until(context.now_);
    if (elapsed == 0)
    {
        return;
    }
    context.shares_updated_ = context.now_;
    double const kept = std::exp2(
        -static_cast<double>(elapsed) /
        static_cast<double>(context.settings_.share_half_life_micros_));
    for (std::size_t team = 0; team < context.teams_.index_.size(); ++team)
    {
        double& usage = context.teams_.usage_[team];
        usage =
            usage * kept + compute_dominant_share(context, team) * (1.0 - kept);
    }
}

} // namespace fescuevane::decide
