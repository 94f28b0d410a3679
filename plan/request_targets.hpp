// Purpose: targets that a request to the policy service may name. Internal to
// the package.
#ifndef FESCUEVANE_PLAN_REQUEST_TARGETS_HPP
#define FESCUEVANE_PLAN_REQUEST_TARGETS_HPP

#include "core/resources.hpp"
#include "plan/candidate.hpp"
#include "plan/coverage.hpp"

#include <cstdint>
#include <vector>

namespace fescuevane
{
struct stage_key;
struct step_spec;
} // namespace fescuevane

namespace fescuevane::plan
{

struct planner;
struct stage_view;

// Room that better-ranked stages leave, for each row of the target table. It
// limits requests, since a ticket for room that another stage takes expires
// unused.
using free_room = std::vector<resources>;

free_room list_free_room(planner const& context);

// Reserved room counts as used for all stages except the one it is reserved
// for.
void return_reserved_room(planner const& context, stage_key const& key,
                          free_room& free);

// Targets with room for the stage that it may use or hasn't asked about, those
// with valid tickets first, then those with the most room.
std::vector<candidate> list_candidates(planner const&    context,
                                       stage_view const& stage,
                                       free_room const&  free);

// Targets without room that may have some when the reply arrives.
std::vector<candidate>
list_later_candidates(planner const& context, stage_view const& stage,
                      std::vector<candidate> const& candidates);

// Targets with a reservation for the stage, even while they are full.
std::vector<candidate> list_reserved(planner const&    context,
                                     stage_view const& stage);
bool is_reserved_for(planner const& context, stage_key const& key,
                     std::size_t row);

coverage cover_room(std::vector<candidate> const& candidates);

// Subtracts the room of the waiting tasks from what is left to worse-ranked
// stages.
void take_room(step_spec const& step, std::vector<candidate> const& candidates,
               std::int64_t fitting, std::int64_t waiting, free_room& free);

// Tickets are useless to a gang that lacks room. But advice about other targets
// is worth a request: which targets are allowed never changes, and decides
// whether the gang has to go to another shard.
void erase_known_targets(std::vector<candidate>& candidates);

// Marks tickets that expire before a reply could arrive as missing, so that
// they are renewed now.
void mark_expiring(planner& context, stage_view const& stage,
                   std::int64_t            lead_micros,
                   std::vector<candidate>& candidates);

bool lacks_tickets(std::vector<candidate> const& candidates);

} // namespace fescuevane::plan

#endif
