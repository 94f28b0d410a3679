// Purpose: event: a target can take work.
#ifndef FESCUEVANE_DECIDE_TARGET_JOINED_HPP
#define FESCUEVANE_DECIDE_TARGET_JOINED_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

#include <cstdint>

namespace fescuevane::decide
{

// The target is reached under the current epoch. Posted again when its
// description changes.
struct target_joined
{
    target_id const     target_;
    rack_id const       rack_;
    resources const     capacity_;
    std::uint32_t const slots_ = 0; // tasks it runs at once, at most

    friend bool operator==(target_joined const&,
                           target_joined const&) = default;
};

} // namespace fescuevane::decide

#endif
