// Purpose: rate limit of an organisation. Internal to the package.
#ifndef FESCUEVANE_PLAN_RATE_CREDIT_HPP
#define FESCUEVANE_PLAN_RATE_CREDIT_HPP

#include "core/instant.hpp"

namespace fescuevane::plan
{

struct organisation_row;

// Jobs that the organisation may submit at `now` before it is above its rate.
double find_credit(organisation_row const& row, instant now);

} // namespace fescuevane::plan

#endif
