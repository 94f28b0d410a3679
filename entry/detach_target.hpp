// Purpose: command: close the link to a target.
#ifndef FESCUEVANE_ENTRY_DETACH_TARGET_HPP
#define FESCUEVANE_ENTRY_DETACH_TARGET_HPP

#include "core/ids.hpp"

namespace fescuevane::entry
{

struct detach_target
{
    target_id const target_;

    friend bool operator==(detach_target const&,
                           detach_target const&) = default;
};

} // namespace fescuevane::entry

#endif
