// Purpose: queries and changes of held room. Internal to the package.
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

// Room of a target that runs and holds leave to a stage. Its own holds don't
// count, nor those of worse-ranked stages until they are firm.
resources find_free_room(planner const& context, stage_key const& stage,
                         target_row const& target);

// Holds room on a target without a hold, unless the target is gone.
void add_reservation(planner& context, room_reservation const& hold);

// Targets on which the stage holds room.
std::int64_t count_reservations(planner const& context, stage_key const& stage);

// Ends the stage's holds of tasks that don't wait any more.
void release_reservations(planner& context, stage_key const& stage);

// Ends the holds of all gangs.
void release_gang_reservations(planner& context);

} // namespace fescuevane::plan

#endif
