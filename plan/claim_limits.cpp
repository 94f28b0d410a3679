// Purpose: system: claims capacity within an organisation's limit for work that
// is larger than what the shard's allotment leaves.
//
// A gang above the allotment can't start, and single tasks take all capacity as
// it becomes free. So the shard reports the claim of the stage that has waited
// longest. The owners serve the claims of all shards one after another. While
// this shard's claim is the active one, other shards give up allotments, and
// other work of the organisation here leaves what the claim needs. A claim is
// active for a bounded time: capacity that is kept for work which can't start
// is lost to all others.
//
// Index of sections
//   1. Queries
//   2. Choice of the claim
//   3. Active claims
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

// Spare allotment of other shards arrives within about a second, and single
// tasks end. Only work that waits longer makes others give up capacity.
constexpr std::int64_t claim_after_micros = 2'000'000;
// Between searches for such work.
constexpr std::int64_t check_interval_micros = 250'000;

// The runs that use the capacity may take longer than a claim is active. So
// each time a stage's claim expires without a start, its next one lasts twice
// as long.
constexpr std::int64_t  active_claim_micros = 10'000'000;
constexpr std::uint32_t max_doublings = 6;
// After its claim has expired, the stage makes none for twice as long as it was
// active, so that work which can never start blocks others for a third of the
// time at most.
constexpr std::int64_t pause_factor = 2;
// After a start, the organisation's other work gets as much time as the claim
// was active, but at least this.
constexpr std::int64_t min_pause_micros = 1'000'000;

// 1. Queries

bool has_claim(claim_row const& claim)
{
    return !claim.stage_.job_.empty();
}

// False when tasks of the stage have started, or it has been removed.
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
    // An interrupted long-running task may not be down for as long as a claim
    // of another stage is active.
    if (claim == nullptr || find_step(context, stage).perpetual_)
    {
        return {};
    }
    bool const keeps = claim->granted_ && claim->stage_ != stage &&
                       is_pending(context, *claim);
    return keeps ? claim->demand_ : claim->withheld_;
}

// 2. Choice of the claim

namespace
{

// Unix time since which the work is due, the same under each owner of the
// stage. If a claim of the stage has expired without a start, the time of
// expiry, when that is later.
std::int64_t find_claim_time(stage_view const& stage)
{
    staged_job const&  job = *stage.job_.spec_;
    std::int64_t const owed =
        job.repeat_count_ > 0
            ? job.first_due_unix_ms_ + job.interval_ms_ * stage.key_.occurrence_
            : job.accepted_unix_ms_;
    return std::max(owed, stage.row_.claim_ended_unix_ms_);
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

// What of the allotment isn't returned by tasks that end by themselves.
resources find_lasting_use(planner const& context, organisation_id const& id)
{
    organisation_row const* const row = context.organisations_.find(id);
    return row == nullptr ? resources() : row->lasting_;
}

// Single tasks within the allotment, beside its long-running tasks, need no
// claim: they wait for other tasks to end, like those of shards without a
// claim.
bool exceeds_allotment(planner const& context, stage_view const& stage)
{
    organisation_id const&        id = stage.job_.spec_->organisation_;
    organisation_row const* const row = context.organisations_.find(id);
    resources const demand = stage.step_.demand_ * count_at_once(stage.step_);
    return stage.step_.gang_
               ? !is_within_limit(context, id, stage.key_, demand)
               : row != nullptr &&
                     !fits_limit(row->lasting_ + demand, row->limit_);
}

bool needs_claim(planner const& context, claim_row const& claim,
                 stage_view const& stage)
{
    std::int64_t const at_once = count_at_once(stage.step_);
    resources const    lasting =
        find_lasting_use(context, stage.job_.spec_->organisation_);
    return stage.row_.claim_after_ <= context.now_ &&
           waits_long(context, stage) && exceeds_allotment(context, stage) &&
           fits_limit(lasting + stage.step_.demand_ * at_once, claim.limit_) &&
           count_room_later(context, stage) >= at_once;
}

// True when work of an organisation with a limit waits.
bool make_claims(planner& context)
{
    unconfirmed_work const unconfirmed = find_unconfirmed_work(context);
    bool                   has_waiting_work = false;
    for (std::size_t row = 0; row < context.stages_.size(); ++row)
    {
        stage_row const& stage = context.stages_[row];
        claim_row* const claim =
            context.claims_.find(stage.spec_->organisation_);
        // Parts of a gang make no claims: claims are served one after another,
        // but the parts start together, and each would have to give up capacity
        // for the claims of the others.
        if (claim == nullptr || claim->limit_.is_zero() || !stage.startable_ ||
            stage.part_ != part_phase::none || count_waiting(stage) == 0)
        {
            continue;
        }
        has_waiting_work = true;
        if (claim->next_check_at_ > context.now_ ||
            (has_claim(*claim) && claim->granted_))
        {
            continue;
        }
        stage_view const   view = view_stage(context, context.stages_.key(row));
        std::int64_t const since = find_claim_time(view);
        if ((has_claim(*claim) && claim->since_unix_ms_ <= since) ||
            may_be_unconfirmed(unconfirmed, view.job_, view.step_) ||
            !needs_claim(context, *claim, view))
        {
            continue;
        }
        claim->stage_ = view.key_;
        claim->since_unix_ms_ = since;
        claim->demand_ = view.step_.demand_ * count_at_once(view.step_);
        claim->waiting_ = count_waiting(stage);
    }
    return has_waiting_work;
}

// 3. Active claims

void drop_claim(planner const& context, claim_row& claim, std::int64_t pause)
{
    claim.stage_ = stage_key();
    claim.granted_at_ = instant::never();
    claim.next_check_at_ = context.now_.after(pause);
}

std::int64_t find_active_claim_micros(stage_row const& stage)
{
    return active_claim_micros << std::min(stage.turns_, max_doublings);
}

void expire_active_claim(planner& context, claim_row& claim)
{
    stage_row&         stage = *context.stages_.find(claim.stage_);
    std::int64_t const active_micros = find_active_claim_micros(stage);
    ++stage.turns_;
    stage.claim_ended_unix_ms_ = context.unix_ms_;
    stage.claim_after_ = context.now_.after(active_micros * pause_factor);
    context.outbox_.push_back(note{"claim_passed",
                                   {claim.stage_, 0, 0},
                                   {},
                                   "no start while its claim was active"});
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
        // Its targets were removed.
        drop_claim(context, claim, check_interval_micros);
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
