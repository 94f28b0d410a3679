// Purpose: system: delegates tasks that lack room in their shard to another.
//
// The tasks become a job of their own (the delegate), which the other shard
// accepts, stores and runs like any other. The delegation is stored with the
// parent job before the delegate is submitted, and its end before the tasks may
// start here, so a change of owner at any moment neither loses nor repeats
// tasks.
//
// Index of sections
//   1. Aliases
//   2. Choice of a shard
//   3. Calls
//   4. Recovery
#include "cell/node.hpp"

#include "cell/delegate_load.hpp"
#include "cell/records.hpp"
#include "cell/sessions.hpp"
#include "plan/overflow.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace fescuevane::cell
{

// 1. Aliases

void add_alias(node& context, staged_job const& job)
{
    if (!job.alias_)
    {
        return;
    }
    for (std::uint32_t const index : job.alias_->indices_)
    {
        context.aliases_[job.alias_->stage_][index].push_back(job.id_);
    }
}

void remove_alias(node& context, staged_job const& job)
{
    if (!job.alias_)
    {
        return;
    }
    auto const stage = context.aliases_.find(job.alias_->stage_);
    if (stage == context.aliases_.end())
    {
        return;
    }
    for (auto& [index, jobs] : stage->second)
    {
        std::erase(jobs, job.id_);
    }
    std::erase_if(stage->second,
                  [](auto const& entry)
                  {
                      return entry.second.empty();
                  });
    if (stage->second.empty())
    {
        context.aliases_.erase(stage);
    }
}

run_key to_original(node const& context, run_key const& run)
{
    record_row const* const record = context.records_.find(run.stage_.job_);
    if (record == nullptr || !record->job_->alias_)
    {
        return run;
    }
    task_alias const& alias = *record->job_->alias_;
    return {alias.stage_, alias.indices_.at(run.index_), run.run_};
}

namespace
{

// Job of a shard that a run may belong to, ranked by likelihood.
struct run_candidate
{
    bool known_ = false;      // this owner started or saw the run for this job
    bool open_ = false;       // the job may run the task now
    bool unfinished_ = false; // the job hasn't ended
    std::int64_t first_run_ = -1; // the job's runs have higher numbers
    run_key      run_;            // key of the run within the job

    friend auto rank(run_candidate const& candidate)
    {
        return std::tuple(candidate.known_, candidate.open_,
                          candidate.unfinished_, candidate.first_run_);
    }
};

run_candidate make_candidate(node const& context, session_row const& session,
                             run_key const& run, std::int64_t first_run)
{
    record_row const* const record = context.records_.find(run.stage_.job_);
    bool const              unfinished = record != nullptr &&
                            record->shard_ == session.shard_ &&
                            !is_final(phase_of(context, *record));
    return {.known_ = session.runs_.contains(run),
            .open_ = unfinished &&
                     plan::is_task_open(
                         *context.owned_.find(session.shard_)->planner_,
                         run.stage_, run.index_),
            .unfinished_ = unfinished,
            .first_run_ = first_run,
            .run_ = run};
}

} // namespace

// Maps a run, keyed by its original job, to the job of this session's shard.
// A task may leave a shard and return, possibly grouped with other tasks, so
// several jobs of the shard may alias it, and ended ones are kept for some
// time. A run belongs to the job that it was started for; else to one that may
// run the task now; else to one that hasn't ended; else to the one with the
// highest first run below the run's number. Jobs of other shards that this host
// owns are skipped: their runs are elsewhere.
run_key to_local(node const& context, session_row const& session,
                 run_key const& run)
{
    auto const stage = context.aliases_.find(run.stage_);
    if (stage == context.aliases_.end())
    {
        return run;
    }
    auto const jobs = stage->second.find(run.index_);
    if (jobs == stage->second.end())
    {
        return run;
    }
    constexpr std::int64_t no_alias = -1;
    run_candidate best = make_candidate(context, session, run, no_alias);
    for (job_id const& id : jobs->second)
    {
        record_row const* const record = context.records_.find(id);
        if (record == nullptr || record->shard_ != session.shard_)
        {
            continue;
        }
        task_alias const& alias = *record->job_->alias_;
        if (alias.first_run_ >= run.run_)
        {
            continue;
        }
        auto const at =
            std::find(alias.indices_.begin(), alias.indices_.end(), run.index_);
        run_candidate const candidate = make_candidate(
            context, session,
            {{id, 0, 0},
             static_cast<std::uint32_t>(at - alias.indices_.begin()),
             run.run_},
            alias.first_run_);
        if (rank(candidate) >= rank(best))
        {
            best = candidate;
        }
    }
    return best.run_;
}

// 2. Choice of a shard

namespace
{

// Tasks are delegated at most once without an offer to the receiving shard:
// further delegations would only move the wait.
constexpr std::int64_t max_handovers = 1;

} // namespace

double expect_load(shard_row const& shard, resources const& more)
{
    resources const& capacity = shard.load_.capacity_;
    resources const  wanted = shard.load_.used_ + shard.load_.queued_ + more;
    double const     cpu = static_cast<double>(wanted.cpu_millis()) /
                       std::max<double>(1, capacity.cpu_millis());
    double const memory = static_cast<double>(wanted.memory_mib()) /
                          std::max<double>(1, capacity.memory_mib());
    return std::max(cpu, memory);
}

std::vector<shard_id> list_receivers(node const& context, shard_id const& from,
                                     service_id const& service,
                                     step_spec const&  step)
{
    std::set<shard_id> const unfit = list_unfit_shards(context, service, step);
    std::vector<shard_id>    found;
    for (std::size_t row = 0; row < context.shards_.size(); ++row)
    {
        shard_id const&  id = context.shards_.key(row);
        shard_row const& shard = context.shards_[row];
        bool const       heard = !is_unresponsive(context, shard.confirmed_at_);
        host_row const* const host = context.hosts_.find(shard.owner_);
        if (id != from && !context.out_.contains(id.domain_) && heard &&
            shard.serving_ && !unfit.contains(id) &&
            (host == nullptr || (host->store_ok_ && !host->stopping_)) &&
            shard.load_.capacity_.cpu_millis() > 0)
        {
            found.push_back(id);
        }
    }
    return found;
}

namespace
{

resources demand_of(plan::overflow const& tasks)
{
    return tasks.demand_ * static_cast<std::int64_t>(tasks.indices_.size());
}

// Shard with the lowest load that has room for the tasks. Shards of other
// failure domains are charged an extra cost.
std::optional<shard_id> choose_delegate(node const&           context,
                                        shard_id const&       from,
                                        plan::overflow const& tasks)
{
    std::shared_ptr<staged_job const> const job =
        plan::find_job(*context.owned_.find(from)->planner_, tasks.stage_.job_);
    std::optional<shard_id> best;
    double                  least = std::numeric_limits<double>::max();
    for (shard_id const& id : list_receivers(
             context, from, job->service_, job->steps_.at(tasks.stage_.step_)))
    {
        double const load =
            expect_load(*context.shards_.find(id), demand_of(tasks));
        double const cost =
            load +
            (id.domain_ == from.domain_ ? 0 : context.settings_.remote_cost_);
        if (load < max_delegate_load && cost < least)
        {
            best = id;
            least = cost;
        }
    }
    return best;
}

} // namespace

job_id begin_delegation(node& context, shard_id const& shard, owned_row& own,
                        plan::overflow const& tasks, shard_id const& target)
{
    job_id const&   parent = tasks.stage_.job_;
    job_id          id(parent.str() + "~" + std::to_string(own.epoch_) + "-" +
                       std::to_string(next_request(context)));
    delegation_row& row = context.delegations_.ensure(id);
    row = delegation_row{.shard_ = shard,
                         .stage_ = tasks.stage_,
                         .target_ = target,
                         .job_ = plan::make_delegate(*own.planner_, tasks, id)};
    plan::post_event(*own.planner_,
                     plan::tasks_delegated{tasks.stage_, tasks.indices_, id,
                                           tasks.gang_run_});
    own.plan_needed_ = true;
    // Estimate; the next heartbeat replaces it by the reported load.
    shard_row& other = *context.shards_.find(target);
    other.load_.queued_ = other.load_.queued_ + demand_of(tasks);
    log_event(context, "delegate",
              {{"job", parent.str()},
               {"delegate", id.str()},
               {"tasks", std::to_string(tasks.indices_.size())},
               {"blocked", tasks.blocked_ ? "true" : "false"},
               {"shard", write_shard_name(target)}});
    record_job_location(context, id, target);
    return id;
}

// Cancels the delegate, which returns its tasks to the parent's shard. The
// cancel is reported only once it is stored, so that no later owner of this
// shard starts the tasks.
void return_tasks(node& context, job_id const& delegate)
{
    record_row* const record = context.records_.find(delegate);
    if (record == nullptr || !record->stored_ || record->canceled_)
    {
        return;
    }
    cancel_job(context, *record);
    log_event(context, "tasks_returned", {{"job", delegate.str()}});
}

namespace
{

// Long-running tasks must not be down, so they are offered as if they had
// waited this much longer. The lead is bounded: rounds of some that no shard
// can run would keep all other stages from being offered.
constexpr std::int64_t long_running_lead_micros = 8'000'000;

// Time from which a stage has been due to be offered: the begin of its wait, or
// the time of its next round. Newer stages don't overtake older ones.
instant find_offer_time(node const& context, shard_id const& shard,
                        plan::overflow const& tasks)
{
    offer_round_row const* const round =
        context.offer_rounds_.find(tasks.stage_);
    auto const    job = plan::find_job(*context.owned_.find(shard)->planner_,
                                       tasks.stage_.job_);
    instant const due = round == nullptr ? tasks.since_ : round->next_at_;
    return job->steps_.at(tasks.stage_.step_).perpetual_
               ? due.after(-long_running_lead_micros)
               : due;
}

std::vector<plan::overflow const*>
order_by_priority(node const& context, shard_id const& shard,
                  std::vector<plan::overflow> const& offered)
{
    std::vector<std::pair<instant, plan::overflow const*>> prioritized;
    prioritized.reserve(offered.size());
    for (plan::overflow const& tasks : offered)
    {
        prioritized.emplace_back(find_offer_time(context, shard, tasks),
                                 &tasks);
    }
    std::stable_sort(prioritized.begin(), prioritized.end(),
                     [](auto const& a, auto const& b)
                     {
                         return a.first < b.first;
                     });
    std::vector<plan::overflow const*> ordered;
    ordered.reserve(prioritized.size());
    for (auto const& [at, tasks] : prioritized)
    {
        ordered.push_back(tasks);
    }
    return ordered;
}

// A shard in a withdrawn failure domain has to move all of its work, so its
// stages are delegated without an offer round each. A stage that was returned
// is offered instead. Returns true if the stage was delegated.
bool evacuate_withdrawn_domain(node& context, shard_id const& shard,
                               plan::overflow const& tasks)
{
    // How long a moved stage is remembered
    constexpr std::int64_t moved_stage_ttl_micros = 30'000'000;
    if (!context.out_.contains(shard.domain_) ||
        context.offer_rounds_.contains(tasks.stage_) ||
        plan::count_handovers(tasks.stage_.job_) >= max_handovers)
    {
        return false;
    }
    std::optional<shard_id> const target =
        choose_delegate(context, shard, tasks);
    if (target)
    {
        offer_round_row& round = context.offer_rounds_.ensure(tasks.stage_);
        round.shard_ = shard;
        round.forget_at_ = context.now_.after(moved_stage_ttl_micros);
        begin_delegation(context, shard, *context.owned_.find(shard), tasks,
                         *target);
    }
    return target.has_value();
}

void offer_by_priority(node& context, shard_id const& shard,
                       std::vector<plan::overflow> const& offered)
{
    for (plan::overflow const* const tasks :
         order_by_priority(context, shard, offered))
    {
        if (!evacuate_withdrawn_domain(context, shard, *tasks))
        {
            offer_stage(context, shard, *tasks);
        }
    }
}

void find_overflow(node& context)
{
    if (context.delegate_at_ > context.now_)
    {
        wake_at(context, context.delegate_at_);
        return;
    }
    context.delegate_at_ =
        context.now_.after(context.settings_.delegate_micros_);
    wake_at(context, context.delegate_at_);
    if (!context.store_ok_ || context.stopping_)
    {
        return;
    }
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        owned_row&     own = context.owned_[row];
        shard_id const shard = context.owned_.key(row);
        if (own.phase_ != owned_phase::serving || own.plan_needed_)
        {
            continue;
        }
        std::vector<plan::overflow> offered;
        std::vector<plan::overflow> waiting;
        for (plan::overflow& tasks :
             plan::list_overflow(*own.planner_, context.now_,
                                 context.settings_.overflow_micros_))
        {
            (needs_offer(context, shard, tasks) ? offered : waiting)
                .push_back(std::move(tasks));
        }
        offer_by_priority(context, shard, offered);
        // One stage per pass: the reported loads lag behind.
        for (plan::overflow const& tasks : waiting)
        {
            std::optional<shard_id> const target =
                choose_delegate(context, shard, tasks);
            if (target)
            {
                begin_delegation(context, shard, own, tasks, *target);
                break;
            }
            offer_stage(context, shard, tasks);
        }
    }
}

} // namespace

// 3. Calls

namespace
{

// Ids of delegation calls, above all ids of client calls.
constexpr std::uint64_t first_delegate_call = std::uint64_t(1) << 62;
constexpr std::int64_t  call_timeout_micros = 3'000'000;

void open_delegate_call(node& context, job_id const& id, delegation_row& row,
                        call_kind kind)
{
    if (kind == call_kind::submit && !row.job_)
    {
        plan::planner const& planner =
            *context.owned_.find(row.shard_)->planner_;
        plan::overflow const tasks =
            plan::find_delegated(planner, row.stage_, id);
        if (tasks.indices_.empty())
        {
            return;
        }
        row.job_ = plan::make_delegate(planner, tasks, id);
    }
    row.call_ = first_delegate_call + next_request(context);
    context.delegate_calls_[row.call_] = id;
    call_row call{.kind_ = kind,
                  .id_ = id,
                  .job_ = kind == call_kind::submit ? row.job_ : nullptr,
                  .deadline_ = context.now_.after(call_timeout_micros),
                  .retry_at_ = context.now_};
    open_call(context, row.call_, std::move(call));
    if (!context.job_locations_.contains(id) && row.target_ != row.shard_)
    {
        record_job_location(context, id, row.target_);
    }
    wake_at(context, context.now_);
}

bool is_mark_stored(node const& context, delegation_row const& row)
{
    record_row const* const record = context.records_.find(row.stage_.job_);
    return record != nullptr && row.change_ != 0 &&
           record->saved_ >= row.change_;
}

// True if the parent job or the delegated tasks have ended, so the delegate has
// to end, too.
bool is_delegate_obsolete(node const& context, job_id const& id,
                          delegation_row const& row)
{
    record_row const* const record = context.records_.find(row.stage_.job_);
    owned_row const* const  own = context.owned_.find(row.shard_);
    if (own == nullptr || own->phase_ != owned_phase::serving ||
        own->plan_needed_)
    {
        return false; // the planner may not have loaded its jobs yet
    }
    if (record == nullptr)
    {
        return true;
    }
    auto const phase = plan::find_phase(*own->planner_, row.stage_.job_);
    return record->canceled_ || !phase || is_final(*phase) ||
           plan::is_delegate_finished(*own->planner_, row.stage_, id);
}

void abandon_call(node& context, delegation_row& row)
{
    context.calls_.remove(row.call_);
    context.delegate_calls_.erase(row.call_);
    row.call_ = 0;
}

// The planner has cleared the mark. Writes it soon, since the tasks wait.
void hasten_unmarking(node& context, record_row const& record)
{
    journal_part const& part =
        context.owned_.find(record.shard_)->parts_[record.part_];
    if (part.request_ == 0 && part.flush_at_ > context.now_)
    {
        expedite_write(context, record);
    }
}

// Lets the planner start the tasks of an ended delegate once no later owner
// finds them delegated.
void release_tasks(node& context, job_id const& id, delegation_row& row)
{
    owned_row* const own = context.owned_.find(row.shard_);
    if (own == nullptr || own->plan_needed_)
    {
        return;
    }
    record_row const* const record = context.records_.find(row.stage_.job_);
    if (record != nullptr && row.change_ == 0)
    {
        row.change_ = record->changed_;
    }
    if (record != nullptr && record->saved_ < row.change_)
    {
        hasten_unmarking(context, *record);
        return;
    }
    plan::post_event(*own->planner_, plan::delegate_end_stored{row.stage_, id});
    own->plan_needed_ = true;
    wake_at(context, context.now_);
    context.delegations_.remove(id);
}

void advance_delegation(node& context, job_id const& id, delegation_row& row)
{
    if (row.phase_ == delegation_phase::unmarking)
    {
        release_tasks(context, id, row);
        return;
    }
    owned_row const* const own = context.owned_.find(row.shard_);
    if (row.phase_ == delegation_phase::marking)
    {
        record_row const* const record = context.records_.find(row.stage_.job_);
        if (row.change_ == 0 && own != nullptr && !own->plan_needed_ &&
            record != nullptr)
        {
            row.change_ = record->changed_; // the planner has set the mark
        }
        if (!is_mark_stored(context, row))
        {
            return;
        }
        row.phase_ = delegation_phase::submitting;
    }
    if (row.phase_ != delegation_phase::canceling &&
        is_delegate_obsolete(context, id, row))
    {
        row.phase_ = delegation_phase::canceling;
        row.next_at_ = context.now_;
        if (row.call_ != 0 &&
            context.calls_.find(row.call_)->kind_ == call_kind::lookup)
        {
            // A look-up waits for the tasks to end; a cancel must not.
            abandon_call(context, row);
        }
    }
    if (row.call_ != 0)
    {
        return;
    }
    if (row.next_at_ > context.now_)
    {
        wake_at(context, row.next_at_);
        return;
    }
    // In the order of `delegation_phase`.
    static constexpr std::array<call_kind, 4> kinds = {
        call_kind::submit, call_kind::submit, call_kind::lookup,
        call_kind::cancel};
    open_delegate_call(context, id, row,
                       kinds.at(static_cast<std::size_t>(row.phase_)));
}

void finish_delegation(node& context, job_id const& id, job_phase phase)
{
    delegation_row&  row = *context.delegations_.find(id);
    owned_row* const own = context.owned_.find(row.shard_);
    if (own == nullptr || !own->planner_)
    {
        context.delegations_.remove(id);
        return;
    }
    plan::post_event(*own->planner_,
                     plan::delegate_ended{row.stage_, id, phase});
    own->plan_needed_ = true;
    wake_at(context, context.now_);
    if (phase == job_phase::completed)
    {
        context.delegations_.remove(id); // no task of it starts here
        return;
    }
    row.phase_ = delegation_phase::unmarking;
    row.change_ = 0;
}

// True if the job is a part of a gang that runs on several shards.
bool is_part(node const& context, job_id const& id, stage_key const& gang)
{
    gang_spread_row const* const spread = context.spreads_.find(gang);
    return spread != nullptr && spread->parts_.contains(id);
}

} // namespace

bool end_delegate_call(node& context, std::uint64_t call,
                       job_answer const& answer)
{
    auto const found = context.delegate_calls_.find(call);
    if (found == context.delegate_calls_.end())
    {
        return false;
    }
    job_id const id = found->second;
    context.delegate_calls_.erase(found);
    delegation_row* const row = context.delegations_.find(id);
    if (row == nullptr)
    {
        return true;
    }
    row->call_ = 0;
    row->next_at_ = context.now_.after(context.settings_.delegate_poll_micros_);
    switch (answer.outcome_)
    {
    case job_outcome::accepted:
        if (row->phase_ == delegation_phase::submitting)
        {
            row->phase_ = delegation_phase::running;
        }
        break;
    case job_outcome::known:
        if (row->phase_ == delegation_phase::running && is_final(answer.phase_))
        {
            finish_delegation(context, id, answer.phase_);
        }
        break;
    case job_outcome::canceled:
        finish_delegation(context, id, job_phase::canceled);
        break;
    case job_outcome::absent:
        // Never accepted, or the cancel overtook the submission. The next
        // cancel finds the tombstone, or the job if that was stored first.
        if (row->phase_ == delegation_phase::canceling)
        {
            if (!context.records_.contains(id))
            {
                store_tombstone(context, id, row->shard_);
            }
        }
        else if (!row->job_ && is_part(context, id, row->stage_))
        {
            // Only the former owner knew which shard was to run it.
            row->phase_ = delegation_phase::canceling;
            row->next_at_ = context.now_;
            wake_at(context, context.now_);
        }
        else
        {
            row->phase_ = delegation_phase::submitting;
        }
        break;
    default:
        break; // retried
    }
    return true;
}

void delegate_tasks(node& context)
{
    find_overflow(context);
    std::vector<job_id> const ids = context.delegations_.keys();
    for (job_id const& id : ids)
    {
        advance_delegation(context, id, *context.delegations_.find(id));
    }
}

// 4. Recovery

// The next owner resumes delegations that are marked in the store.
void drop_delegations(node& context, shard_id const& shard)
{
    std::vector<job_id> const ids = context.delegations_.keys();
    for (job_id const& id : ids)
    {
        delegation_row& row = *context.delegations_.find(id);
        if (row.shard_ == shard)
        {
            abandon_call(context, row);
            context.delegations_.remove(id);
        }
    }
}

std::vector<job_id> list_delegates(node const& context, job_id const& job)
{
    std::vector<job_id> delegates;
    for (std::size_t row = 0; row < context.delegations_.size(); ++row)
    {
        delegation_row const& delegation = context.delegations_[row];
        if (delegation.stage_.job_ == job &&
            delegation.phase_ != delegation_phase::unmarking)
        {
            delegates.push_back(context.delegations_.key(row));
        }
    }
    return delegates;
}

void restore_delegations(node& context, job_record const& record)
{
    std::map<std::pair<job_id, stage_key>, plan::overflow> found;
    for (task_progress const& task : record.progress_.tasks_)
    {
        if (task.delegate_.empty())
        {
            continue;
        }
        stage_key const stage{record.job_->id_, task.occurrence_, task.step_};
        plan::overflow& tasks = found[{task.delegate_, stage}];
        tasks.stage_ = stage;
        tasks.indices_.push_back(task.index_);
        tasks.gang_run_ = task.gang_run_;
    }
    for (job_id const& delegate : record.progress_.delegates_)
    {
        found[{delegate, {record.job_->id_, 0, 0}}];
    }
    for (auto const& [name, tasks] : found)
    {
        delegation_row& row = context.delegations_.ensure(name.first);
        // Starts with a look-up: if it wasn't accepted, it is submitted again.
        row = delegation_row{.shard_ = record.shard_,
                             .stage_ = name.second,
                             .target_ = record.shard_,
                             .phase_ = delegation_phase::running,
                             .next_at_ = context.now_};
        if (tasks.gang_run_ != 0)
        {
            restore_spread(context, record.shard_, name.second, name.first);
        }
    }
}

} // namespace fescuevane::cell
