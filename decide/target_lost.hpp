// Purpose: event: a target is gone and nothing runs there any more.
#ifndef FESCUEVANE_DECIDE_TARGET_LOST_HPP
#define FESCUEVANE_DECIDE_TARGET_LOST_HPP

#include "core/ids.hpp"

namespace fescuevane::decide
{

// Posted only when every task of the target is known to have ended: it said so
// with a new incarnation, or its leases have lapsed.
struct target_lost
{
    target_id const target_;

    friend bool operator==(target_lost const&, target_lost const&) = default;
};

} // namespace fescuevane::decide

#endif
