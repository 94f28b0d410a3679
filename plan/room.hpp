// Purpose: where a task fits. Internal to the package.
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

// True when the target may run the stage: its service, its labels, its phase.
bool suits_stage(planner const& context, stage_view const& stage,
                 target_row const& target);

// The same for a target that takes new work now, whatever its room.
bool accepts_stage(planner const& context, stage_view const& stage,
                   target_row const& target);

// What a task takes from a target's room: fillers use processors that others
// leave, but memory of their own.
resources charged_resources(resources const& demand, bool filler);
resources required_room(step_spec const& step);

// Tasks of the step that fit in some room of the target.
std::int64_t count_fitting_in(step_spec const& step, target_row const& target,
                              resources const& room);

// Tasks of the stage that fit on the target once all work that ends by itself
// has ended.
std::int64_t count_fitting_later(stage_view const& stage,
                                 target_row const& target);

// Tasks of the stage that fit beside what runs on the target and what is held
// there for other stages, within the stage's limit for one target.
std::int64_t count_startable(planner const& context, stage_view const& stage,
                             target_id const& id, target_row const& target);

// The part of `fitting` tasks that the stage's limit for one target leaves.
std::int64_t limit_to_spread(planner const& context, stage_view const& stage,
                             target_id const& id, std::int64_t fitting);

// True when the target may run the stage once all other work has ended, as far
// as the policy service has answered.
bool could_run(planner const& context, stage_view const& stage,
               target_id const& id, target_row const& target);

// True when the shard's targets can't run the stage, however long it waits: by
// label, size, ticket or lasting work. Limits of organisations don't count,
// they are lent.
bool is_blocked(planner const& context, stage_view const& stage);

// True when the stage needs no ticket or holds a valid one for the target.
bool has_ticket(planner const& context, stage_view const& stage,
                target_id const& target);

// True when the ticket may still be used.
bool is_valid(planner const& context, ticket_cell const& ticket);

// False when the stage has tickets, but none for the target.
bool may_use(stage_row const& stage, target_id const& target);

// Tasks of the stage that its targets and tickets allow once all work that ends
// by itself has ended.
std::int64_t count_room_later(planner const& context, stage_view const& stage);

// True when an amount stays within a limit; 0: there is no limit.
bool fits_limit(resources const& amount, resources const& limit);

// True when the organisation of a stage may have `demand` more of it running.
bool is_within_limit(planner const& context, organisation_id const& id,
                     stage_key const& stage, resources const& demand);

// Runs of the stage on one target, for a stage with a spread limit.
std::uint32_t count_on_target(planner const& context, stage_view const& stage,
                              target_id const& target);

} // namespace fescuevane::plan

#endif
