// Purpose: free capacity of targets and limits for the tasks of a stage.
// Internal to the package.
#ifndef FESCUEVANE_PLAN_ROOM_HPP
#define FESCUEVANE_PLAN_ROOM_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

#include <cstdint>

namespace fescuevane
{
struct stage_key;
struct step_spec;
} // namespace fescuevane

namespace fescuevane::plan
{

struct planner;
struct stage_row;
struct stage_view;
struct target_row;
struct ticket_cell;

// True when the target is usable and its service and labels match the stage.
bool suits_stage(planner const& context, stage_view const& stage,
                 target_row const& target);

// True when the target also accepts new work now: not paused, not on probation,
// without work of another owner. Doesn't check its free capacity.
bool accepts_stage(planner const& context, stage_view const& stage,
                   target_row const& target);

// What a task takes from the free capacity of a target. Fillers are charged for
// memory and accelerators only: they use processor time that others leave.
resources charged_resources(resources const& demand, bool filler);
resources required_room(step_spec const& step);

// Tasks of the step that fit in `room` on the target.
std::int64_t count_fitting_in(step_spec const& step, target_row const& target,
                              resources const& room);

// Tasks of the stage that fit on the target once all but long-running work has
// ended.
std::int64_t count_fitting_later(stage_view const& stage,
                                 target_row const& target);

// Tasks of the stage that fit now beside the running tasks and the reservations
// of other stages, within the stage's spread limit.
std::int64_t count_startable(planner const& context, stage_view const& stage,
                             target_id const& id, target_row const& target);

// Caps `fitting` tasks by what the stage's spread limit leaves on the target.
std::int64_t limit_to_spread(planner const& context, stage_view const& stage,
                             target_id const& id, std::int64_t fitting);

// True when the target may run the stage at some time: its labels match, it
// isn't draining, and the policy service hasn't forbidden it. Ignores free
// capacity.
bool could_run(planner const& context, stage_view const& stage,
               target_id const& id, target_row const& target);

// True when the shard's targets can't run the stage, however long it waits,
// because of labels, size, tickets or long-running work. Limits of
// organisations don't count, since other shards can lend their allotments.
bool is_blocked(planner const& context, stage_view const& stage);

// True when the stage needs no ticket or holds a valid one for the target.
bool has_ticket(planner const& context, stage_view const& stage,
                target_id const& target);

// True when the ticket allows the target and doesn't expire within
// `advice_margin_micros_`.
bool is_valid(planner const& context, ticket_cell const& ticket);

// False when the stage has advice, but the target isn't among those allowed.
bool may_use(stage_row const& stage, target_id const& target);

// Tasks of the stage that fit on all targets that accept it and that it may
// use, once all but long-running work has ended.
std::int64_t count_room_later(planner const& context, stage_view const& stage);

// True when each resource stays within its limit; 0: no limit on it.
bool fits_limit(resources const& amount, resources const& limit);

// True when the stage's organisation stays within its limit with `demand` more
// running. Counts unconfirmed work and what is left to the active claim.
bool is_within_limit(planner const& context, organisation_id const& id,
                     stage_key const& stage, resources const& demand);

// Runs of the stage on one target. Only for stages with a spread limit.
std::uint32_t count_on_target(planner const& context, stage_view const& stage,
                              target_id const& target);

} // namespace fescuevane::plan

#endif
