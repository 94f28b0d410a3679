// Purpose: what a target can hold.
#ifndef FESCUEVANE_TESTS_PROVE_TARGET_CAPACITY_HPP
#define FESCUEVANE_TESTS_PROVE_TARGET_CAPACITY_HPP

#include "core/resources.hpp"

#include <cstdint>

namespace fescuevane::prove
{

struct target_capacity
{
    resources const    capacity_;
    std::int64_t const slots_ = 0;

    friend bool operator==(target_capacity const&,
                           target_capacity const&) = default;
};

} // namespace fescuevane::prove

#endif
