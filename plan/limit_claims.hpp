// Purpose: queries of claims to room within organisations' limits. Internal to
// the package.
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

// The organisation's claim, while it waits.
std::optional<limit_claim> find_claim(planner const&         context,
                                      organisation_id const& id);

// What a stage has to leave to the claim that is served, of another stage or
// another shard. Lasting tasks leave nothing.
resources find_reserved_for_claim(planner const&         context,
                                  organisation_id const& id,
                                  stage_key const&       stage);

} // namespace fescuevane::plan

#endif
