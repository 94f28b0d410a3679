// Purpose: system: requests tickets from the policy service ahead of need, for
// stages with reservations first, then in turns, then by rank.
#include "plan/planner.hpp"
#include "plan/request_for_stage.hpp"
#include "plan/request_limits.hpp"
#include "plan/request_turns.hpp"
#include "plan/requesting_stages.hpp"
#include "plan/room_reservations.hpp"

#include <span>
#include <vector>

namespace fescuevane::plan
{
namespace
{

void request_for_all(planner& context)
{
    std::vector<stage_rank> const ranks = rank_requesting_stages(context);
    free_room                     free = list_free_room(context);
    std::size_t                   holding = 0;
    for (; holding < ranks.size() &&
           count_reservations(context, ranks[holding].stage_) > 0;
         ++holding)
    {
        request_for_stage(context, ranks[holding].stage_, free, true);
    }
    std::span<stage_rank const> const others =
        std::span(ranks).subspan(holding);
    request_in_turns(context, others, free);
    for (stage_rank const& rank : others)
    {
        if (!may_request_any(context))
        {
            return;
        }
        if (!is_in_turn(context, rank.stage_))
        {
            request_for_stage(context, rank.stage_, free, true);
        }
    }
}

} // namespace

void request_advice(planner& context)
{
    if (may_request_any(context))
    {
        request_for_all(context);
    }
    context.requests_scarce_ =
        !may_request(context, false) || !may_request(context, true);
}

} // namespace fescuevane::plan
