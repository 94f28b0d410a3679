// Purpose: load of a shard by one organisation that has an upper limit.
#ifndef FESCUEVANE_PLAN_ORGANISATION_LOAD_HPP
#define FESCUEVANE_PLAN_ORGANISATION_LOAD_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

namespace fescuevane::plan
{

struct organisation_load
{
    organisation_id organisation_;
    resources       used_;   // by what runs
    resources       queued_; // by tasks that could start

    friend bool operator==(organisation_load const&,
                           organisation_load const&) = default;
};

} // namespace fescuevane::plan

#endif
