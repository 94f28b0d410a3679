// Purpose: what holds for all targets of a run of the soak, where the
// platform's protocol leaves it open.
#ifndef FESCUEVANE_TESTS_SOAK_TARGET_TRAITS_HPP
#define FESCUEVANE_TESTS_SOAK_TARGET_TRAITS_HPP

#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::soak
{

struct target_traits
{
    std::int64_t const max_stop_micros_ = 900 * micros_per_milli;
    bool const         lists_stopping_ = true; // as running, until the end

    friend bool operator==(target_traits const&,
                           target_traits const&) = default;
};

} // namespace fescuevane::soak

#endif
