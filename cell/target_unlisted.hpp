// Purpose: event: a target was removed from the list.
#ifndef FESCUEVANE_CELL_TARGET_UNLISTED_HPP
#define FESCUEVANE_CELL_TARGET_UNLISTED_HPP

#include "core/ids.hpp"

namespace fescuevane::cell
{

struct target_unlisted
{
    target_id const id_;

    friend bool operator==(target_unlisted const&,
                           target_unlisted const&) = default;
};

} // namespace fescuevane::cell

#endif
