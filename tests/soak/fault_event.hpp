// Purpose: one fault that the driver made.
#ifndef FESCUEVANE_TESTS_SOAK_FAULT_EVENT_HPP
#define FESCUEVANE_TESTS_SOAK_FAULT_EVENT_HPP

#include <cstdint>
#include <string>

namespace fescuevane::soak
{

struct fault_event
{
    std::int64_t const began_ = 0; // CLOCK_MONOTONIC, microseconds
    std::int64_t const ended_ = 0;
    std::string const  name_;
    std::string const  object_; // host, target or "store"

    friend bool operator==(fault_event const&, fault_event const&) = default;
};

} // namespace fescuevane::soak

#endif
