// Purpose: command: close the connections to a target.
#ifndef FESCUEVANE_CELL_FORGET_TARGET_HPP
#define FESCUEVANE_CELL_FORGET_TARGET_HPP

#include "core/ids.hpp"

namespace fescuevane::cell
{

struct forget_target
{
    target_id const target_;

    friend bool operator==(forget_target const&,
                           forget_target const&) = default;
};

} // namespace fescuevane::cell

#endif
