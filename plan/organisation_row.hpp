// Purpose: row of an organisation.
#ifndef FESCUEVANE_PLAN_ORGANISATION_ROW_HPP
#define FESCUEVANE_PLAN_ORGANISATION_ROW_HPP

#include "core/instant.hpp"
#include "core/resources.hpp"

namespace fescuevane::plan
{

struct organisation_row
{
    double    weight_ = 0; // 0: no longer configured
    resources limit_;      // this shard's share, 0: unlimited
    resources used_;       // by known runs
    resources lasting_;    // the part used by long-running tasks
    resources unseen_;     // by unconfirmed runs on unreached targets
    double    credit_ = 0; // jobs that may still be submitted at full rank
    instant   credit_at_;  // of the last refill
};

} // namespace fescuevane::plan

#endif
