// Purpose: what the configuration says about one queue of staged jobs.
#ifndef FESCUEVANE_CORE_QUEUE_POLICY_HPP
#define FESCUEVANE_CORE_QUEUE_POLICY_HPP

#include "core/advice_policy.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <optional>

namespace fescuevane
{

// A job is on time until `objective_ms_` plus `slack_factor_` times its longest
// chain of work.
struct queue_policy
{
    queue_id                     id_;
    service_id                   service_;
    std::int32_t                 priority_ = 0; // 0 comes first
    std::uint32_t                max_attempts_ = 1;
    double                       slack_factor_ = 1;
    std::int64_t                 objective_ms_ = 0;
    std::optional<advice_policy> advice_; // none: any target may run it

    friend bool operator==(queue_policy const&, queue_policy const&) = default;
};

} // namespace fescuevane

#endif
