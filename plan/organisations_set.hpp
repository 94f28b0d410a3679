// Purpose: event: the organisations and their shares of the limits.
#ifndef FESCUEVANE_PLAN_ORGANISATIONS_SET_HPP
#define FESCUEVANE_PLAN_ORGANISATIONS_SET_HPP

#include "core/organisation_share.hpp"

#include <vector>

namespace fescuevane::plan
{

// Limits are the shares that this shard may use.
struct organisations_set
{
    std::vector<organisation_share> const organisations_;

    friend bool operator==(organisations_set const&,
                           organisations_set const&) = default;
};

} // namespace fescuevane::plan

#endif
