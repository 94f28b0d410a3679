// Purpose: one evacuation of a failure domain by the operator.
#ifndef FESCUEVANE_TESTS_SOAK_EVACUATION_EVENT_HPP
#define FESCUEVANE_TESTS_SOAK_EVACUATION_EVENT_HPP

#include <cstdint>
#include <string>

namespace fescuevane::soak
{

struct evacuation_event
{
    std::int64_t const acknowledged_ = 0; // CLOCK_MONOTONIC, microseconds
    std::int64_t const taken_back_ = 0;   // the request that ends it was sent
    std::string const  domain_;

    friend bool operator==(evacuation_event const&,
                           evacuation_event const&) = default;
};

} // namespace fescuevane::soak

#endif
