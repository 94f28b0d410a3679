// Purpose: system: replies to other shards which of their tasks could run here.
//
// An offered job is a job with one stage that never becomes startable. Such a
// stage only queries the policy service; no other system uses it. The reply
// waits until there is advice about all targets with room, or until its
// deadline.
#include "plan/answer_offer.hpp"
#include "plan/job_flow.hpp"
#include "plan/job_offered.hpp"
#include "plan/offers.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"
#include "plan/stage_view.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace fescuevane::plan
{
namespace
{

// Advice about whether a target is allowed never changes, so it is kept beyond
// the reply: a step that no shard can run is offered again every few seconds.
constexpr std::int64_t offer_lifetime_micros = 15'000'000;

// Offers stored at a time. Each costs requests to the policy service, and a
// scan of all targets in each tick.
constexpr std::size_t max_offers = 16;

// Free capacity for an offered job, in tasks.
struct offer_room
{
    std::int64_t now_ = 0;
    std::int64_t later_ = 0;
    std::int64_t unknown_ = 0; // targets without advice so far
};

std::int64_t count_needed(step_spec const& step)
{
    return step.gang_ ? static_cast<std::int64_t>(step.count_) : 1;
}

std::optional<job_id> find_offer(planner const&   context,
                                 stage_key const& origin)
{
    for (std::size_t row = 0; row < context.offers_.size(); ++row)
    {
        if (context.offers_[row].origin_ == origin)
        {
            return context.offers_.key(row);
        }
    }
    return std::nullopt;
}

using ticket_map = std::unordered_map<target_id, ticket_cell>;

// Steps whose advice is cached after their offer is removed. Without the cache
// a shard would request the advice again in each round of offers, and report
// too few tasks when its reply is due.
constexpr std::size_t max_cached_steps = 200;

void cache_advice(planner& context, stage_key const& origin, ticket_map tickets)
{
    if (tickets.empty())
    {
        return;
    }
    if (!context.advised_steps_.contains(origin))
    {
        context.advised_order_.push_back(origin);
    }
    context.advised_steps_[origin] = std::move(tickets);
    while (context.advised_order_.size() > max_cached_steps)
    {
        context.advised_steps_.erase(context.advised_order_.front());
        context.advised_order_.pop_front();
    }
}

ticket_map find_cached_advice(planner const& context, stage_key const& origin)
{
    auto const cached = context.advised_steps_.find(origin);
    return cached == context.advised_steps_.end() ? ticket_map()
                                                  : cached->second;
}

// Removes an offer. Returns the advice that its stage has received.
ticket_map remove_offer(planner& context, job_id const& id)
{
    stage_key const key{id, 0, 0};
    stage_row&      stage = *context.stages_.find(key);
    ticket_map      tickets = std::move(stage.tickets_);
    cache_advice(context, context.offers_.find(id)->origin_, tickets);
    close_advice_requests(context, stage);
    context.stages_.remove(key);
    context.jobs_.remove(id);
    context.offers_.remove(id);
    return tickets;
}

std::int64_t count_free(planner const& context, stage_view const& stage,
                        std::size_t row)
{
    target_row const& target = context.targets_[row];
    target_id const&  id = context.targets_.key(row);
    return accepts_stage(context, stage, target)
               ? count_startable(context, stage, id, target)
               : 0;
}

offer_room count_room(planner const& context, stage_view const& stage)
{
    offer_room room;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        target_row const&  target = context.targets_[row];
        target_id const&   id = context.targets_.key(row);
        std::int64_t const later =
            could_run(context, stage, id, target)
                ? limit_to_spread(context, stage, id,
                                  count_fitting_later(stage, target))
                : 0;
        if (later == 0)
        {
            continue;
        }
        if (needs_ticket(stage) && !stage.row_.tickets_.contains(id))
        {
            // No advice is requested about a target that accepts no work now.
            room.unknown_ += accepts_stage(context, stage, target) ? 1 : 0;
            continue;
        }
        room.later_ += later;
        std::int64_t const free = count_free(context, stage, row);
        if (has_ticket(context, stage, id))
        {
            room.now_ += free;
        }
    }
    return room;
}

// Tasks that fit now on targets that the policy service allows, with and
// without valid tickets.
std::int64_t count_allowed_room(planner const& context, stage_view const& stage)
{
    std::int64_t room = 0;
    for (std::size_t row = 0; row < context.targets_.size(); ++row)
    {
        auto const ticket = stage.row_.tickets_.find(context.targets_.key(row));
        if (!needs_ticket(stage) ||
            (ticket != stage.row_.tickets_.end() && ticket->second.good_))
        {
            room += count_free(context, stage, row);
        }
    }
    return room;
}

// True while further advice may change the reply.
bool awaits_advice(planner const& context, stage_view const& stage,
                   offer_room const& room)
{
    if (!needs_ticket(stage) ||
        room.now_ >= static_cast<std::int64_t>(stage.step_.count_))
    {
        return false;
    }
    std::int64_t const allowed = count_allowed_room(context, stage);
    return room.unknown_ > 0 ||
           (room.now_ < allowed && allowed >= count_needed(stage.step_));
}

void answer(planner& context, job_id const& id, offer_row& offer)
{
    stage_key const  key{id, 0, 0};
    stage_view const stage = view_stage(context, key);
    offer_room const room = count_room(context, stage);
    if (offer.answer_by_ > context.now_ && awaits_advice(context, stage, room))
    {
        wake_at(context, offer.answer_by_);
        return;
    }
    offer.answered_ = true;
    std::int64_t const count = stage.step_.count_;
    std::int64_t const free = count_allowed_room(context, stage);
    bool const         within_limit =
        is_within_limit(context, stage.job_.spec_->organisation_, key,
                        stage.step_.demand_ * count_needed(stage.step_));
    context.outbox_.push_back(
        answer_offer{id,
                     static_cast<std::uint32_t>(
                         within_limit ? std::min(room.now_, count) : 0),
                     static_cast<std::uint32_t>(std::min(room.later_, count)),
                     static_cast<std::uint32_t>(std::min(free, count)),
                     static_cast<std::uint32_t>(room.unknown_)});
}

// Makes space for one more offer, if need be by removing the replied one that
// expires first. False when there is none.
bool evict_for_offer(planner& context)
{
    if (context.offers_.size() < max_offers)
    {
        return true;
    }
    std::optional<std::size_t> oldest;
    for (std::size_t row = 0; row < context.offers_.size(); ++row)
    {
        offer_row const& offer = context.offers_[row];
        if (offer.answered_ &&
            (!oldest || offer.forget_at_ < context.offers_[*oldest].forget_at_))
        {
            oldest = row;
        }
    }
    if (oldest)
    {
        job_id const id = context.offers_.key(*oldest);
        remove_offer(context, id);
    }
    return oldest.has_value();
}

// Keeps the question that may be in flight: its answer is due before that of a
// new one.
void repeat_offer(planner& context, offer_row& offer, instant answer_by)
{
    offer.answer_by_ = answer_by;
    offer.forget_at_ = context.now_.after(offer_lifetime_micros);
    offer.answered_ = false;
}

} // namespace

void add_offer(planner& context, job_offered const& input)
{
    staged_job const& job = *input.job_;
    if (!job.alias_ || job.steps_.size() != 1)
    {
        return; // no reply: the request of the other host times out
    }
    stage_key const& origin = job.alias_->stage_;
    ticket_map       tickets = find_cached_advice(context, origin);
    if (auto const earlier = find_offer(context, origin))
    {
        if (*context.jobs_.find(*earlier)->spec_ == job)
        {
            repeat_offer(context, *context.offers_.find(*earlier),
                         input.answer_by_);
            return;
        }
        tickets = remove_offer(context, *earlier);
    }
    if (context.jobs_.contains(job.id_) || !evict_for_offer(context))
    {
        context.outbox_.push_back(answer_offer{
            .id_ = job.id_,
            .unknown_ = static_cast<std::uint32_t>(context.targets_.size())});
        return;
    }
    context.offers_.ensure(job.id_) = {
        .origin_ = origin,
        .answer_by_ = input.answer_by_,
        .forget_at_ = context.now_.after(offer_lifetime_micros)};
    job_row row;
    row.spec_ = input.job_;
    row.accepted_at_ = input.accepted_at_;
    row.next_occurrence_ = 1;
    context.jobs_.ensure(job.id_) = std::move(row);
    context.estimates_.emplace(context.now_, job.id_);
    open_occurrence(context, job.id_, 0);
    context.stages_.find({job.id_, 0, 0})->tickets_ = std::move(tickets);
}

void take_over_offer(planner& context, job_id const& added)
{
    job_row const& job = *context.jobs_.find(added);
    if (!job.spec_->alias_)
    {
        return;
    }
    auto const offer = find_offer(context, job.spec_->alias_->stage_);
    if (!offer)
    {
        return;
    }
    ticket_map tickets = remove_offer(context, *offer);
    if (stage_row* const stage = context.stages_.find({added, 0, 0}))
    {
        stage->tickets_ = std::move(tickets);
    }
}

bool is_answered_offer(planner const& context, job_id const& job)
{
    offer_row const* const offer = context.offers_.find(job);
    return offer != nullptr && offer->answered_;
}

bool is_offer_without_room(planner const& context, stage_view const& stage)
{
    return context.offers_.contains(stage.key_.job_) &&
           count_allowed_room(context, stage) < count_needed(stage.step_);
}

void answer_offers(planner& context)
{
    std::vector<job_id> expired;
    for (std::size_t row = 0; row < context.offers_.size(); ++row)
    {
        offer_row&    offer = context.offers_[row];
        job_id const& id = context.offers_.key(row);
        if (offer.forget_at_ <= context.now_)
        {
            expired.push_back(id);
            continue;
        }
        wake_at(context, offer.forget_at_);
        if (!offer.answered_)
        {
            answer(context, id, offer);
        }
    }
    for (job_id const& id : expired)
    {
        remove_offer(context, id);
    }
}

} // namespace fescuevane::plan
