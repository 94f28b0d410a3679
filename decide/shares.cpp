// Purpose: dominant shares of teams.
#include "decide/shares.hpp"

#include "decide/scheduler.hpp"

#include <algorithm>

namespace fescuevane::decide
{
namespace
{

// Weight of past usage. A larger one makes a team that was idle overtake the
// others for longer than the minute over which shares are measured.
constexpr double past_weight = 0.25;

double divide(std::int64_t part, std::int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole)
                     : 0.0;
}

} // namespace

double compute_fraction(resources const& amount, resources const& total)
{
    return std::max({divide(amount.cpu_millis(), total.cpu_millis()),
                     divide(amount.memory_mib(), total.memory_mib()),
                     divide(amount.accelerators(), total.accelerators())});
}

double compute_dominant_share(scheduler const& context, std::size_t team)
{
    return compute_fraction(context.teams_.used_[team],
                            context.targets_.total_);
}

double compute_score(scheduler const& context, std::size_t team)
{
    double const present = compute_dominant_share(context, team);
    double const past = context.teams_.usage_[team];
    return (present * (1.0 - past_weight) + past * past_weight) /
           static_cast<double>(context.teams_.share_[team]);
}

bool fits_allotment(scheduler const& context, std::size_t team,
                    resources const& amount)
{
    auto const& allotment = context.teams_.allotment_[team];
    return !allotment || (context.teams_.used_[team] +
                          context.targets_.total_charged_ + amount)
                             .fits_in(*allotment);
}

} // namespace fescuevane::decide
