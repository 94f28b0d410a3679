// Purpose: claim of waiting work to room within its organisation's limit.
#ifndef FESCUEVANE_PLAN_LIMIT_CLAIM_HPP
#define FESCUEVANE_PLAN_LIMIT_CLAIM_HPP

#include "core/resources.hpp"

#include <cstdint>

namespace fescuevane::plan
{

struct limit_claim
{
    resources    demand_;            // to start at once
    std::int64_t since_unix_ms_ = 0; // earlier claims go first

    friend bool operator==(limit_claim const&, limit_claim const&) = default;
};

} // namespace fescuevane::plan

#endif
