// Purpose: queries of claims to capacity within organisations' limits. Internal
// to the package.
#ifndef FESCUEVANE_PLAN_LIMIT_CLAIMS_HPP
#define FESCUEVANE_PLAN_LIMIT_CLAIMS_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "plan/limit_claim.hpp"

#include <optional>

namespace fescuevane
{
struct stage_key;
} // namespace fescuevane

namespace fescuevane::plan
{

struct planner;

// The organisation's claim; none if no work of it waits for one.
std::optional<limit_claim> find_claim(planner const&         context,
                                      organisation_id const& id);

// Capacity that a stage leaves unused for the active claim of another stage or
// another shard. Long-running tasks leave nothing.
resources find_reserved_for_claim(planner const&         context,
                                  organisation_id const& id,
                                  stage_key const&       stage);

} // namespace fescuevane::plan

#endif
