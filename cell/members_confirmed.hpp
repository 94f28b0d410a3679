// Purpose: event: the store has shown the present rows of members.
#ifndef FESCUEVANE_CELL_MEMBERS_CONFIRMED_HPP
#define FESCUEVANE_CELL_MEMBERS_CONFIRMED_HPP

#include "core/instant.hpp"

namespace fescuevane::cell
{

// All changes made before `asked_at_`, when the request was sent, have been
// posted. The reply itself may have waited for a paused process.
struct members_confirmed
{
    instant const asked_at_;

    friend bool operator==(members_confirmed const&,
                           members_confirmed const&) = default;
};

} // namespace fescuevane::cell

#endif
