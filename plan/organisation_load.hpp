// Purpose: load of a shard by one organisation that has an upper limit.
#ifndef FESCUEVANE_PLAN_ORGANISATION_LOAD_HPP
#define FESCUEVANE_PLAN_ORGANISATION_LOAD_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "plan/limit_claim.hpp"

#include <cstdint>
#include <optional>

namespace fescuevane::plan
{

struct organisation_load
{
    organisation_id            organisation_;
    resources                  used_;   // by running and unconfirmed tasks
    resources                  queued_; // by startable tasks
    std::optional<limit_claim> claim_;  // to more than the shard's allotment
    resources                  unconfirmed_; // part of `used_`
    std::uint32_t part_ = 0; // of the limit, in thousandths; set by the owner

    friend bool operator==(organisation_load const&,
                           organisation_load const&) = default;
};

} // namespace fescuevane::plan

#endif
