// Purpose: event: a target was added to the list, or its entry changed.
#ifndef FESCUEVANE_CELL_TARGET_LISTED_HPP
#define FESCUEVANE_CELL_TARGET_LISTED_HPP

#include "cell/listed_target.hpp"

namespace fescuevane::cell
{

struct target_listed
{
    listed_target const target_;

    friend bool operator==(target_listed const&,
                           target_listed const&) = default;
};

} // namespace fescuevane::cell

#endif
