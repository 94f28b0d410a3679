// Purpose: a target on which leases of a shard may run.
#ifndef FESCUEVANE_STATE_GRANTED_TARGET_HPP
#define FESCUEVANE_STATE_GRANTED_TARGET_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::state
{

struct granted_target
{
    target_id const     target_;
    domain_id const     domain_;
    rack_id const       rack_;
    std::string const   address_; // IP and port of its Target service
    resources const     capacity_;
    std::uint32_t const slots_ = 0;

    friend bool operator==(granted_target const&,
                           granted_target const&) = default;
};

} // namespace fescuevane::state

#endif
