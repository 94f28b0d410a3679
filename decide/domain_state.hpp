// Purpose: whether the failure domain of a shard is in service.
#ifndef FESCUEVANE_DECIDE_DOMAIN_STATE_HPP
#define FESCUEVANE_DECIDE_DOMAIN_STATE_HPP

#include "core/instant.hpp"
#include "core/resources.hpp"

namespace fescuevane::decide
{

struct domain_state
{
    bool      in_service_ = true;
    bool      ramping_ = false;      // after a return, until all is put to use
    instant   ramp_start_;           // instant of the return
    resources ramp_base_;            // in use at the return
    bool      policy_known_ = false; // a policy has been set
};

} // namespace fescuevane::decide

#endif
