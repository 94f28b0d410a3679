// Purpose: how far a ticket is.
#ifndef FESCUEVANE_STATE_TICKET_STAGE_HPP
#define FESCUEVANE_STATE_TICKET_STAGE_HPP

#include <cstdint>

namespace fescuevane::state
{

enum class ticket_stage : std::uint8_t
{
    rejected,    // invalid, nothing was written
    conflicting, // the number was taken by another ticket
    unknown,     // the store gave no answer; read it back by its number
    committed,   // written; restrictions apply as they are seen
    accepted     // in force wherever work can start
};

} // namespace fescuevane::state

#endif
