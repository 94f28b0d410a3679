// Purpose: what the configuration said when a job was accepted.
#ifndef FESCUEVANE_CORE_ACCEPTED_POLICY_HPP
#define FESCUEVANE_CORE_ACCEPTED_POLICY_HPP

#include "core/queue_policy.hpp"
#include "core/resources.hpp"

namespace fescuevane
{

// Holds for the job once its queue or its organisation is no longer configured.
struct accepted_policy
{
    queue_policy queue_;
    resources    limit_; // of the organisation, in all shards; 0: unlimited

    friend bool operator==(accepted_policy const&,
                           accepted_policy const&) = default;
};

} // namespace fescuevane

#endif
