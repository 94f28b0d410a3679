// Purpose: requests of a stage to the policy service. A reply takes longer the
// more targets a request names, and a ticket expires. So a stage sends its
// request when its tasks are about to start, for targets with room.
#include "plan/request_for_stage.hpp"

#include "plan/job_flow.hpp"
#include "plan/offers.hpp"
#include "plan/planner.hpp"
#include "plan/request_limits.hpp"
#include "plan/room.hpp"
#include "plan/room_reservations.hpp"
#include "plan/stage_view.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace fescuevane::plan
{
namespace
{

void send_request(planner& context, stage_view const& view,
                  std::vector<target_id> targets, bool is_long)
{
    stage_row& stage = *context.stages_.find(view.key_);
    ++stage.asked_;
    stage.requested_long_ = is_long;
    stage.requested_at_ = context.now_;
    stage.turn_due_ = instant::never();
    ++(is_long ? context.long_requests_ : context.short_requests_);
    context.outbox_.push_back(advice_request{
        view.key_, std::move(targets), view.queue_->advice_->validity_ms_});
}

// Free room changes before the reply arrives, and a request costs more than one
// further target in it. So it names all targets that the stage may use, those
// with room first.
void send_request_for(planner& context, stage_view const& view,
                      std::vector<candidate> const& candidates, bool is_long)
{
    std::vector<target_id> targets;
    for (candidate const& at : candidates)
    {
        if (!at.ticketed_ && targets.size() < context.settings_.advice_targets_)
        {
            targets.push_back(context.targets_.key(at.row_));
        }
    }
    if (!targets.empty())
    {
        send_request(context, view, std::move(targets), is_long);
    }
}

// Time from a request about a number of targets to the start of the tasks.
std::int64_t find_lead_micros(stage_view const& stage, std::size_t targets)
{
    advice_policy const& advice = *stage.queue_->advice_;
    return static_cast<std::int64_t>(
        (advice.decision_ms_ + advice_lead_ms +
         advice.per_target_ms_ * static_cast<double>(targets)) *
        micros_per_milli);
}

// Requests tickets for a gang with reservations when all its room will be free
// by the time of the reply. Names all reserved targets at once, so that no
// ticket expires before the last one arrives. Other targets with room may
// replace a reserved one. False: it is too early.
bool request_for_gang(planner& context, stage_view const& stage,
                      std::vector<candidate> candidates, bool is_long)
{
    std::int64_t lead_micros = find_lead_micros(
        stage, std::min<std::size_t>(stage.step_.count_,
                                     context.settings_.advice_targets_));
    instant const request_at = stage.row_.room_at_.after(-lead_micros);
    if (request_at > context.now_)
    {
        wake_at(context, request_at);
        return false;
    }
    if (stage.row_.part_ != part_phase::none)
    {
        // It has to stay ready until the other parts are.
        lead_micros += context.settings_.part_ready_micros_;
    }
    std::erase_if(candidates,
                  [&](candidate const& at)
                  {
                      return !at.known_ ||
                             is_reserved_for(context, stage.key_, at.row_);
                  });
    std::vector<candidate> reserved = list_reserved(context, stage);
    candidates.insert(candidates.begin(), reserved.begin(), reserved.end());
    mark_expiring(context, stage, lead_micros, candidates);
    bool const reserved_lacks_tickets =
        std::any_of(candidates.begin(), candidates.begin() + reserved.size(),
                    [](candidate const& at)
                    {
                        return !at.ticketed_;
                    });
    if (!reserved_lacks_tickets)
    {
        return true;
    }
    std::size_t const      most = context.settings_.advice_targets_;
    std::vector<target_id> targets;
    std::size_t            number = 0;
    for (candidate const& at : candidates)
    {
        // Only reserved targets are worth a further request.
        bool const is_spare = number++ >= reserved.size();
        if (at.ticketed_ || (is_spare && targets.size() >= most))
        {
            continue;
        }
        if (targets.size() == most)
        {
            if (!may_request(context, is_long))
            {
                return true;
            }
            send_request(context, stage, std::exchange(targets, {}), is_long);
        }
        targets.push_back(context.targets_.key(at.row_));
    }
    if (may_request(context, is_long))
    {
        send_request(context, stage, std::move(targets), is_long);
    }
    return true;
}

// A stage with reservations requests tickets early, to have them when the room
// is free: also while its targets are full, and before its tickets expire. Of
// the targets without room, the request names only those known to be allowed.
void request_for_reserved_room(planner& context, stage_view const& stage,
                               std::vector<candidate> candidates, bool is_long)
{
    std::vector<candidate> const later =
        list_later_candidates(context, stage, candidates);
    std::copy_if(later.begin(), later.end(), std::back_inserter(candidates),
                 [](candidate const& at)
                 {
                     return at.known_;
                 });
    mark_expiring(context, stage, find_lead_micros(stage, candidates.size()),
                  candidates);
    send_request_for(context, stage, candidates, is_long);
}

// For a part of a gang without reserved room: asks only about targets that may
// or may not be allowed. Tickets would expire before its room is reserved, and
// renewing them delays the requests of older gangs.
void learn_allowed_targets(planner& context, stage_view const& stage,
                           std::vector<candidate> candidates, bool is_long)
{
    std::vector<candidate> const later =
        list_later_candidates(context, stage, candidates);
    candidates.insert(candidates.end(), later.begin(), later.end());
    erase_known_targets(candidates);
    send_request_for(context, stage, candidates, is_long);
}

} // namespace

void request_for_stage(planner& context, stage_key const& key, free_room& free,
                       bool allowed)
{
    stage_view const   stage = view_stage(context, key);
    bool const         startable = stage.row_.startable_;
    std::int64_t const waiting = count_waiting(stage.row_);
    bool const         reserves_for_gang =
        stage.step_.gang_ && stage.row_.room_at_ != instant::never();
    if (waiting == 0 ||
        (startable && !reserves_for_gang &&
         !is_within_limit(context, stage.job_.spec_->organisation_, key,
                          stage.step_.demand_)))
    {
        return;
    }
    bool const is_long =
        needs_ticket(stage) && is_long_request(context, *stage.queue_->advice_);
    // A stage with reservations may be of a queue without a policy service.
    bool const may_send = allowed && needs_ticket(stage) &&
                          stage.row_.asked_ == 0 &&
                          may_request(context, is_long);
    if (!startable && !may_send)
    {
        return;
    }
    bool const has_reservations = count_reservations(context, key) > 0;
    if (reserves_for_gang)
    {
        // On a copy: worse-ranked stages don't get the reserved room.
        free_room own = free;
        return_reserved_room(context, key, own);
        std::vector<candidate> candidates =
            list_candidates(context, stage, own);
        if (may_send && !request_for_gang(context, stage, candidates, is_long))
        {
            // Uses the time to learn which other targets are allowed.
            erase_known_targets(candidates);
            send_request_for(context, stage, candidates, is_long);
        }
        return;
    }
    if (has_reservations)
    {
        return_reserved_room(context, key, free);
    }
    std::vector<candidate> candidates = list_candidates(context, stage, free);
    if (!startable)
    {
        if (is_offer_without_room(context, stage))
        {
            erase_known_targets(candidates);
        }
        send_request_for(context, stage, candidates, is_long);
        return;
    }
    coverage const room = cover_room(candidates);
    take_room(stage.step_, candidates, room.fitting_, waiting, free);
    if (stage.row_.part_ != part_phase::none && !has_reservations)
    {
        if (may_send)
        {
            learn_allowed_targets(context, stage, std::move(candidates),
                                  is_long);
        }
        return;
    }
    if (has_reservations && may_send)
    {
        request_for_reserved_room(context, stage, std::move(candidates),
                                  is_long);
        return;
    }
    if (!may_send || room.ticketed_ >= waiting)
    {
        return;
    }
    bool const lacks_room = stage.step_.gang_ && room.fitting_ < waiting;
    if (lacks_room ? is_blocked(context, stage) : !lacks_tickets(candidates))
    {
        return;
    }
    std::vector<candidate> const later =
        list_later_candidates(context, stage, candidates);
    candidates.insert(candidates.end(), later.begin(), later.end());
    if (lacks_room)
    {
        erase_known_targets(candidates);
    }
    send_request_for(context, stage, candidates, is_long);
}

} // namespace fescuevane::plan
