// Purpose: system: claims room within an organisation's limit for work that is
// larger than what the shard's part leaves.
//
// A gang above the part can't start, and single tasks take each bit of room
// that comes free. So the shard tells the claim of the stage that has waited
// longest. The owners serve the claims of all shards one after another: while
// it is the turn of this shard's claim, other shards make room, and the
// organisation's other work here leaves what the claim needs. A turn is
// bounded: room that is kept for work which can't start is lost to all others.
//
// Index of sections
//   1. Queries
//   2. Choice
//   3. Turns
#include "plan/job_flow.hpp"
#include "plan/limit_claims.hpp"
#include "plan/planner.hpp"
#include "plan/room.hpp"
#include "plan/stage_view.hpp"
#include "plan/unconfirmed_work.hpp"

#include <algorithm>

namespace fescuevane::plan
{
namespace
{

// Parts that another shard has to spare arrive within about a second, and
// single tasks end; only what waits longer makes others leave room.
constexpr std::int64_t claim_after_micros = 2'000'000;
constexpr std::int64_t check_interval_micros =
    250'000; // between looks for such work

// The runs that hold the room may take longer than a turn, so each turn of a
// stage that passes without a start makes its next one twice as long.
constexpr std::int64_t  turn_micros = 10'000'000;
constexpr std::uint32_t max_doublings = 6;
// After such a turn the stage makes no claim for twice its length, so that work
// which can never start takes a third of the time at most.
constexpr std::int64_t pause_factor = 2;
// After a start other work of the organisation has as long as the turn took.
constexpr std::int64_t min_pause_micros = 1'000'000;

// 1. Queries

bool has_claim(claim_row const& claim)
{
    return !claim.stage_.job_.empty();
}

// False when tasks of the stage have started, or it is gone.
bool is_pending(planner const& context, claim_row const& claim)
{
    stage_row const* const stage = context.stages_.find(claim.stage_);
    return has_claim(claim) && !claim.limit_.is_zero() && stage != nullptr &&
           stage->startable_ && count_waiting(*stage) >= claim.waiting_;
}

// Tasks that have to start at the same time.
std::int64_t count_at_once(step_spec const& step)
{
    return step.gang_ ? step.count_ : 1;
}

} // namespace

std::optional<limit_claim> find_claim(planner const&         context,
                                      organisation_id const& id)
{
    claim_row const* const claim = context.claims_.find(id);
    if (claim == nullptr || !is_pending(context, *claim))
    {
        return std::nullopt;
    }
    return limit_claim{claim->demand_, claim->since_unix_ms_};
}

resources find_reserved_for_claim(planner const&         context,
                                  organisation_id const& id,
                                  stage_key const&       stage)
{
    claim_row const* const claim = context.claims_.find(id);
    // A lasting task that was interrupted may not be down for a whole turn.
    if (claim == nullptr || find_step(context, stage).perpetual_)
    {
        return {};
    }
    bool const keeps = claim->granted_ && claim->stage_ != stage &&
                       is_pending(context, *claim);
    return keeps ? claim->demand_ : claim->withheld_;
}

// 2. Choice

namespace
{

// The time of day at which the work was owed, the same for each owner that the
// stage has; after a turn without a start, the end of the turn.
std::int64_t find_claim_time(stage_view const& stage)
{
    staged_job const&  job = *stage.job_.spec_;
    std::int64_t const owed =
        job.repeat_count_ > 0
            ? job.first_due_unix_ms_ + job.interval_ms_ * stage.key_.occurrence_
            : job.accepted_unix_ms_;
    return std::max(owed, stage.row_.turn_ended_unix_ms_);
}

bool waits_long(planner const& context, stage_view const& stage)
{
    auto const is_long = [&context](task_cell const& task)
    {
        return is_waiting(task) &&
               task.waiting_since_.after(claim_after_micros) <= context.now_;
    };
    task_list const& tasks = stage.row_.tasks_;
    return stage.step_.gang_ ? std::all_of(tasks.begin(), tasks.end(), is_long)
                             : std::any_of(tasks.begin(), tasks.end(), is_long);
}

// Single tasks within the part wait for others to end, like those of shards
// without a claim.
bool exceeds_allotment(planner const& context, stage_view const& stage)
{
    organisation_id const&        id = stage.job_.spec_->organisation_;
    organisation_row const* const row = context.organisations_.find(id);
    resources const demand = stage.step_.demand_ * count_at_once(stage.step_);
    return stage.step_.gang_
               ? !is_within_limit(context, id, stage.key_, demand)
               : row != nullptr && !fits_limit(demand, row->limit_);
}

bool needs_claim(planner const& context, claim_row const& claim,
                 stage_view const& stage)
{
    std::int64_t const at_once = count_at_once(stage.step_);
    return stage.row_.claim_after_ <= context.now_ &&
           waits_long(context, stage) && exceeds_allotment(context, stage) &&
           fits_limit(stage.step_.demand_ * at_once, claim.limit_) &&
           count_room_later(context, stage) >= at_once;
}

// True when work of an organisation with a limit waits.
bool make_claims(planner& context)
{
    unconfirmed_work const unseen = find_unconfirmed_work(context);
    bool                   some_wait = false;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        claim_row* const claim =
            context.claims_.find(stage.spec_->organisation_);
        // Claims are served one after another, but the parts of a gang start
        // together, and each would have to give to the claims of the others.
        if (claim == nullptr || claim->limit_.is_zero() || !stage.startable_ ||
            stage.part_ != part_phase::none || count_waiting(stage) == 0)
        {
            continue;
        }
        some_wait = true;
        if (claim->next_check_at_ > context.now_ ||
            (has_claim(*claim) && claim->granted_))
        {
            continue;
        }
        stage_view const   view = view_stage(context, context.stages_.key(row));
        std::int64_t const since = find_claim_time(view);
        if ((has_claim(*claim) && claim->since_unix_ms_ <= since) ||
            may_be_unconfirmed(unseen, view.job_, view.step_) ||
            !needs_claim(context, *claim, view))
        {
            continue;
        }
        claim->stage_ = view.key_;
        claim->since_unix_ms_ = since;
        claim->demand_ = view.step_.demand_ * count_at_once(view.step_);
        claim->waiting_ = count_waiting(stage);
    }
    return some_wait;
}

// 3. Turns

void drop_claim(planner const& context, claim_row& claim, std::int64_t pause)
{
    claim.stage_ = stage_key();
    claim.granted_at_ = instant::never();
    claim.next_check_at_ = context.now_.after(pause);
}

std::int64_t find_active_claim_micros(stage_row const& stage)
{
    return turn_micros << std::min(stage.turns_, max_doublings);
}

void expire_active_claim(planner& context, claim_row& claim)
{
    stage_row&         stage = *context.stages_.find(claim.stage_);
    std::int64_t const micros = find_active_claim_micros(stage);
    ++stage.turns_;
    stage.turn_ended_unix_ms_ = context.unix_ms_;
    stage.claim_after_ = context.now_.after(micros * pause_factor);
    context.outbox_.push_back(
        note{"claim_passed", {claim.stage_, 0, 0}, {}, "no room in its turn"});
    drop_claim(context, claim, check_interval_micros);
}

void update_active_claim(planner& context, claim_row& claim)
{
    if (!claim.granted_)
    {
        claim.granted_at_ = instant::never();
        return;
    }
    claim.granted_at_ = std::min(claim.granted_at_, context.now_);
    instant const end = claim.granted_at_.after(
        find_active_claim_micros(*context.stages_.find(claim.stage_)));
    if (end <= context.now_)
    {
        expire_active_claim(context, claim);
        return;
    }
    wake_at(context, end);
}

void update_claim(planner& context, claim_row& claim)
{
    if (!has_claim(claim))
    {
        return;
    }
    if (!is_pending(context, claim))
    {
        std::int64_t const took =
            claim.granted_at_ <= context.now_
                ? claim.granted_at_.remaining_until(context.now_)
                : 0;
        drop_claim(context, claim, std::max(took, min_pause_micros));
        return;
    }
    stage_view const stage = view_stage(context, claim.stage_);
    if (claim.next_check_at_ <= context.now_ &&
        count_room_later(context, stage) < count_at_once(stage.step_))
    {
        drop_claim(context, claim,
                   check_interval_micros); // its targets are gone
        return;
    }
    update_active_claim(context, claim);
}

} // namespace

void claim_limits(planner& context)
{
    bool is_due = false;
    for (claim_row& claim : context.claims_)
    {
        update_claim(context, claim);
        is_due = is_due || claim.next_check_at_ <= context.now_;
    }
    if (!is_due || !make_claims(context))
    {
        return;
    }
    for (claim_row& claim : context.claims_)
    {
        if (claim.next_check_at_ <= context.now_)
        {
            claim.next_check_at_ = context.now_.after(check_interval_micros);
        }
        wake_at(context, claim.next_check_at_);
    }
}

} // namespace fescuevane::plan
