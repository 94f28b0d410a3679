// Purpose: a worker as the platform lists it.
#ifndef FESCUEVANE_TESTS_STAND_INS_HOST_HPP
#define FESCUEVANE_TESTS_STAND_INS_HOST_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::stand_ins
{

struct host
{
    target_id const   target_;
    std::string const address_; // IP and port as listed
    std::string const listen_;  // where the target listens; behind a relay
                                // it differs from `address_`
    domain_id const     domain_;
    rack_id const       rack_;
    resources const     capacity_;
    std::uint32_t const slots_ = 0;
    bool const          leaving_ = false;

    friend bool operator==(host const&, host const&) = default;
};

} // namespace fescuevane::stand_ins

#endif
