// Purpose: claim of waiting work to capacity within its organisation's limit.
#ifndef FESCUEVANE_PLAN_LIMIT_CLAIM_HPP
#define FESCUEVANE_PLAN_LIMIT_CLAIM_HPP

#include "core/resources.hpp"

#include <cstdint>

namespace fescuevane::plan
{

struct limit_claim
{
    resources    demand_;            // of the tasks that have to start together
    std::int64_t since_unix_ms_ = 0; // earlier claims are served first

    friend bool operator==(limit_claim const&, limit_claim const&) = default;
};

} // namespace fescuevane::plan

#endif
