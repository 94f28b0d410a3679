// Purpose: event: new limits of organisations, and whether their claims are
// active.
#ifndef FESCUEVANE_PLAN_LIMIT_CLAIMS_UPDATED_HPP
#define FESCUEVANE_PLAN_LIMIT_CLAIMS_UPDATED_HPP

#include "plan/active_limit_claim.hpp"

#include <vector>

namespace fescuevane::plan
{

// Organisations that aren't listed have no limit.
struct limit_claims_updated
{
    std::vector<active_limit_claim> const turns_;

    friend bool operator==(limit_claims_updated const&,
                           limit_claims_updated const&) = default;
};

} // namespace fescuevane::plan

#endif
