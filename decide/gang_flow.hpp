// Purpose: reservations of targets for gangs.
#ifndef FESCUEVANE_DECIDE_GANG_FLOW_HPP
#define FESCUEVANE_DECIDE_GANG_FLOW_HPP

#include <cstddef>

namespace fescuevane
{
class resources;
} // namespace fescuevane

namespace fescuevane::decide
{

struct scheduler;

// Lets a gang that has waited long enough hold targets, when no other does.
void reserve_for_gang(scheduler& context, std::size_t job,
                      resources const& amount);

// Gives up a reservation that has expired or whose gang no longer waits.
void expire_reservation(scheduler& context);

// Opens or closes the held targets; they are open while their gang is placed.
void set_held(scheduler& context, bool held);
void drop_reservation(scheduler& context);

} // namespace fescuevane::decide

#endif
