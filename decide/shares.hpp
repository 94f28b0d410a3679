// Purpose: dominant shares of teams.
#ifndef FESCUEVANE_DECIDE_SHARES_HPP
#define FESCUEVANE_DECIDE_SHARES_HPP

#include <cstddef>

namespace fescuevane
{
class resources;
} // namespace fescuevane

namespace fescuevane::decide
{

struct scheduler;

// Largest fraction of `total` over the three resources (dominant resource
// fairness, Ghodsi et al. 2011). 0 for an empty total.
double compute_fraction(resources const& amount, resources const& total);

// What a team uses of the shard now, 0 to 1.
double compute_dominant_share(scheduler const& context, std::size_t team);

// The next start goes to the team with the lowest score: its share, present
// and past, over its weight.
double compute_score(scheduler const& context, std::size_t team);

// True when `amount` more keeps the team within its allotment. What unreached
// targets may hold counts as used.
bool fits_allotment(scheduler const& context, std::size_t team,
                    resources const& amount);

} // namespace fescuevane::decide

#endif
