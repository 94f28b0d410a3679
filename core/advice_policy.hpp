// Purpose: how the policy service of a queue answers.
#ifndef FESCUEVANE_CORE_ADVICE_POLICY_HPP
#define FESCUEVANE_CORE_ADVICE_POLICY_HPP

#include "core/instant.hpp"

#include <cstddef>
#include <cstdint>

namespace fescuevane
{

// Time of one answer: `decision_ms_` plus `per_target_ms_` for each target.
struct advice_policy
{
    double       decision_ms_ = 0;
    double       per_target_ms_ = 0;
    std::int64_t validity_ms_ = 0; // of a ticket

    friend bool operator==(advice_policy const&,
                           advice_policy const&) = default;
};

// Time in which the policy service answers a request about this many targets.
inline std::int64_t expect_reply_micros(advice_policy const& policy,
                                        std::size_t          targets)
{
    return static_cast<std::int64_t>(
        (policy.decision_ms_ +
         policy.per_target_ms_ * static_cast<double>(targets)) *
        micros_per_milli);
}

} // namespace fescuevane

#endif
