// Purpose: row of an organisation.
#ifndef FESCUEVANE_PLAN_ORGANISATION_ROW_HPP
#define FESCUEVANE_PLAN_ORGANISATION_ROW_HPP

#include "core/instant.hpp"
#include "core/resources.hpp"

namespace fescuevane::plan
{

struct organisation_row
{
    double    weight_ = 0; // 0: not configured any more
    resources limit_;      // this shard's part, 0: no limit
    resources used_;       // by runs
    resources unseen_;     // by runs that may be on targets not reached yet
    double    credit_ = 0; // jobs that it may still submit at full rank
    instant   credit_at_;  // of the last refill
};

} // namespace fescuevane::plan

#endif
