// Purpose: what stays with a target of the stand-in through all its lives.
#ifndef FESCUEVANE_TESTS_SOAK_TARGET_SPEC_HPP
#define FESCUEVANE_TESTS_SOAK_TARGET_SPEC_HPP

#include "core/resources.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::soak
{

struct target_spec
{
    std::string const name_;
    std::string const address_; // IP:port
    std::string const domain_;
    std::string const rack_;
    resources const   capacity_;
    // Speed of its clock; the least is the slowest that the platform allows.
    std::int64_t const clock_permille_ = 980;

    friend bool operator==(target_spec const&, target_spec const&) = default;
};

} // namespace fescuevane::soak

#endif
