// Purpose: queries and changes of reservations. Internal to the package.
#ifndef FESCUEVANE_PLAN_ROOM_RESERVATIONS_HPP
#define FESCUEVANE_PLAN_ROOM_RESERVATIONS_HPP

#include "core/ids.hpp"

#include <cstdint>

namespace fescuevane
{
class resources;
struct stage_key;
} // namespace fescuevane

namespace fescuevane::plan
{

struct planner;
struct room_reservation;
struct target_row;

// Capacity of a target that running tasks and reservations leave to a stage.
// The stage's own reservations don't count, nor those of worse-ranked stages
// before they are firm.
resources find_free_room(planner const& context, stage_key const& stage,
                         target_row const& target);

// Adds a reservation on a target that has none. No effect if the target has
// been removed.
void add_reservation(planner& context, room_reservation const& reservation);

// Number of targets with a reservation for the stage.
std::int64_t count_reservations(planner const& context, stage_key const& stage);

// Removes the stage's reservations for tasks that no longer wait.
void release_reservations(planner& context, stage_key const& stage);

// Removes the reservations of all gangs.
void release_gang_reservations(planner& context);

} // namespace fescuevane::plan

#endif
