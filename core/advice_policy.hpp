// Purpose: how the policy service of a queue answers.
#ifndef FESCUEVANE_CORE_ADVICE_POLICY_HPP
#define FESCUEVANE_CORE_ADVICE_POLICY_HPP

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

} // namespace fescuevane

#endif
