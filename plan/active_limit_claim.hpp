// Purpose: limit of an organisation, and whether a shard's claim is active.
#ifndef FESCUEVANE_PLAN_ACTIVE_LIMIT_CLAIM_HPP
#define FESCUEVANE_PLAN_ACTIVE_LIMIT_CLAIM_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

namespace fescuevane::plan
{

struct active_limit_claim
{
    organisation_id organisation_;
    resources       limit_;    // of the whole cell
    resources       withheld_; // left unused for another shard's claim
    bool granted_ = false;     // the shard's claim is active: others make room

    friend bool operator==(active_limit_claim const&,
                           active_limit_claim const&) = default;
};

} // namespace fescuevane::plan

#endif
