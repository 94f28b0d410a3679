// Purpose: shards that this process owns: work passed to them, their
// schedulers, the journal of accepted jobs.
//
// Index of sections
//   1. Answers
//   2. Acquire and release
//   3. Work passed to a shard
//   4. Journal
//   5. Schedulers
//   6. Expiry of journal entries
#include "core/core.hpp"
#include "decide/reasons.hpp"
#include "decide/shard_load.hpp"
#include "decide/team_load.hpp"
#include "entry/node_tables.hpp"
#include "state/config.hpp"

#include <algorithm>
#include <utility>

namespace fescuevane::entry
{
namespace
{

// A new owner takes work this long after it acquired a shard, also when some
// targets were not reached by then.
constexpr std::int64_t ready_wait_micros = micros_per_second;

constexpr std::int64_t transfer_retry_micros = 2 * micros_per_second;

constexpr std::int64_t load_interval_micros = 200 * micros_per_milli;

// An id that another shard took over stays known to its home shard, so that
// asking again finds the job instead of starting it a second time.
constexpr std::int64_t moved_keep_micros = 7 * 24 * 3600 * micros_per_second;

// Final answers above this size are not kept in the journal: the store carries
// hundreds of writes a second, not megabytes.
constexpr std::size_t journal_body_bytes = 256 * 1024;

// A refused note of a final state is written again after this long: a full
// queue refuses at once, and so would an immediate second attempt.
constexpr std::int64_t rewrite_micros = 500 * micros_per_milli;

// Followed by the shard that took the job.
constexpr char const* reason_moved = "moved to shard ";

// 1. Answers

job_result with_owner(node const& context, job_result const& result)
{
    return {.key_ = result.key_,
            .state_ = result.state_,
            .outcome_ = result.outcome_,
            .attempt_ = result.attempt_,
            .body_ = result.body_,
            .reason_ = result.reason_,
            .retry_after_micros_ = result.retry_after_micros_,
            .target_ = result.target_,
            .owner_ = context.settings_.state_.host_};
}

void watch_job(node& context, job_key const& job, watcher const& from)
{
    std::vector<watcher>& waiting = context.watchers_[job];
    if (std::find(waiting.begin(), waiting.end(), from) == waiting.end())
    {
        waiting.push_back(from);
    }
}

void answer_watchers(node& context, job_key const& job, answer_kind kind,
                     job_result const& result, shard_id const& moved_to = {})
{
    auto const found = context.watchers_.find(job);
    if (found == context.watchers_.end())
    {
        return;
    }
    std::vector<watcher> const waiting = found->second;
    if (kind != answer_kind::state || is_final(result.state_))
    {
        context.watchers_.erase(found);
    }
    for (watcher const& each : waiting)
    {
        answer_watcher(context, each, kind, result, moved_to);
    }
}

} // namespace

void answer_watcher(node& context, watcher const& to, answer_kind kind,
                    job_result const& result, shard_id const& moved_to)
{
    bool const refused =
        kind == answer_kind::not_here ||
        (kind == answer_kind::state && result.state_ == job_state::not_run);
    if (refused)
    {
        append_refusal(
            context.refusals_, to, result.key_, kind,
            context.now_.after(context.settings_.decide_.result_keep_micros_));
    }
    answer_passed const answer{to.call_, kind, to.shard_, moved_to,
                               with_owner(context, result)};
    if (to.host_ == context.settings_.state_.host_)
    {
        take_answer(context, answer);
    }
    else
    {
        context.outbox_.push_back(send_peer{to.host_, answer});
    }
}

void post_to_shard(node& context, std::size_t driver, decide::event input)
{
    decide::post_event(*context.drivers_.scheduler_[driver], std::move(input));
    context.drivers_.dirty_[driver] = 1;
}

// 2. Acquire and release

namespace
{

void post_to_control(node& context, state::event input)
{
    state::post_event(*context.control_, std::move(input));
    context.control_dirty_ = true;
}

void plan_record(node& context, std::size_t row, instant deadline)
{
    context.records_.keep_deadline_[row] = deadline;
    context.record_deadline_ = std::min(context.record_deadline_, deadline);
}

// Puts a journal entry of an earlier owner into the tables.
void restore_record(node& context, std::size_t driver,
                    state::job_record const& entry)
{
    shard_id const& shard = context.drivers_.index_.key(driver);
    if (context.records_.index_.contains(entry.spec_->key_))
    {
        return;
    }
    std::size_t const row = append_record(context.records_, shard, entry.spec_);
    record_table&     records = context.records_;
    if (entry.result_ == nullptr)
    {
        records.phase_[row] = record_phase::recorded;
        context.drivers_.restored_[driver].push_back(entry.spec_->key_);
        return;
    }
    bool const moved = entry.result_->reason_.starts_with(reason_moved);
    if (moved)
    {
        records.moved_to_.replace(
            row, parse_shard_id(entry.result_->reason_.substr(
                                    std::string_view(reason_moved).size()))
                     .value_or(shard_id()));
    }
    records.phase_[row] = moved ? record_phase::moved : record_phase::closed;
    records.result_[row] = entry.result_;
    plan_record(context, row,
                context.now_.after(
                    moved ? moved_keep_micros
                          : context.settings_.decide_.result_keep_micros_));
}

} // namespace

void acquire_shard(node& context, state::shard_acquired const& input)
{
    if (context.drivers_.index_.contains(input.shard_))
    {
        release_shard(context, input.shard_);
    }
    driver_table&     drivers = context.drivers_;
    std::size_t const row = drivers.index_.append(input.shard_);
    drivers.epoch_.append(input.epoch_);
    drivers.scheduler_.append(
        decide::make_scheduler(context.settings_.decide_));
    drivers.allotments_.append({});
    drivers.restored_.append({});
    drivers.dirty_.append(1);
    drivers.ready_.append(0);
    drivers.regrant_.append(1);
    drivers.recorded_.append({});
    drivers.former_.append({});
    drivers.complete_.append(0);
    drivers.acquired_.append(context.now_);
    drivers.ready_deadline_.append(context.now_.after(ready_wait_micros));
    drivers.load_deadline_.append(context.now_);
    count(context, counter::shards_acquired);
    context.outbox_.push_back(
        state_noted{"shard acquired", format_key(input.shard_) + " epoch " +
                                          std::to_string(input.epoch_)});
    set_policy(context, row);
    for (state::job_record const& entry : input.jobs_)
    {
        restore_record(context, row, entry);
    }
    adopt_grants(context, row, input.grants_);
    open_sessions(context, input.shard_);
    context.routes_stale_ = true;
}

void release_shard(node& context, shard_id const& shard)
{
    auto const row = context.drivers_.index_.find(shard);
    if (!row)
    {
        return;
    }
    close_sessions(context, shard);
    driver_table& drivers = context.drivers_;
    drivers.index_.remove_by_moving_last(*row);
    drivers.epoch_.remove_by_moving_last(*row);
    drivers.scheduler_.remove_by_moving_last(*row);
    drivers.allotments_.remove_by_moving_last(*row);
    drivers.restored_.remove_by_moving_last(*row);
    drivers.dirty_.remove_by_moving_last(*row);
    drivers.ready_.remove_by_moving_last(*row);
    drivers.regrant_.remove_by_moving_last(*row);
    drivers.recorded_.remove_by_moving_last(*row);
    drivers.former_.remove_by_moving_last(*row);
    drivers.complete_.remove_by_moving_last(*row);
    drivers.acquired_.remove_by_moving_last(*row);
    drivers.ready_deadline_.remove_by_moving_last(*row);
    drivers.load_deadline_.remove_by_moving_last(*row);
    for (std::size_t record = context.records_.index_.size(); record-- > 0;)
    {
        if (context.records_.shard_[record] == shard)
        {
            remove_record(context.records_, record);
        }
    }
    std::erase_if(context.uncertain_jobs_,
                  [&shard](auto const& entry)
                  {
                      return entry.second == shard;
                  });
    std::erase_if(context.job_spans_,
                  [&shard](auto const& entry)
                  {
                      return entry.second.shard_ == shard;
                  });
    // Entry processes ask the next owner by themselves.
    for (auto waiting = context.watchers_.begin();
         waiting != context.watchers_.end();)
    {
        std::erase_if(waiting->second,
                      [&shard](watcher const& each)
                      {
                          return each.shard_ == shard;
                      });
        waiting = waiting->second.empty() ? context.watchers_.erase(waiting)
                                          : std::next(waiting);
    }
    count(context, counter::shards_released);
    context.outbox_.push_back(state_noted{"shard released", format_key(shard)});
    context.routes_stale_ = true;
}

void set_policy(node& context, std::size_t driver)
{
    if (!context.config_)
    {
        return;
    }
    shard_id const& shard = context.drivers_.index_.key(driver);
    auto const&     parts = context.drivers_.allotments_[driver];
    std::vector<decide::team_policy> teams;
    for (auto const& [id, team] : context.config_->teams_)
    {
        auto const               part = parts.find(id);
        std::optional<resources> allotment;
        if (team.limit_)
        {
            allotment = part == parts.end() ? resources() : part->second;
        }
        teams.push_back({id, team.share_, allotment});
    }
    teams.push_back({team_id("open"), 1, std::nullopt});
    post_to_shard(
        context, driver,
        decide::policy_set{teams, is_in_service(context, shard.domain_)});
}

// 3. Work passed to a shard

namespace
{

// Callers may have used the id with an earlier owner, which answered, ran the
// job or lost it; the results of that time are not all kept.
bool may_have_run(node const& context, std::size_t driver)
{
    instant const known_from = context.drivers_.acquired_[driver].after(
        context.settings_.decide_.result_keep_micros_);
    return context.drivers_.epoch_[driver] > 1 && context.now_ < known_from;
}

bool needs_journal(job_spec const& spec)
{
    return spec.kind_ != work_kind::request || !spec.idempotent_;
}

// Answers from the journal. Returns true when the entry settles the call.
bool answer_from_record(node& context, watcher const& from, job_key const& job,
                        job_spec const* asked)
{
    auto const row = context.records_.index_.find(job);
    if (!row)
    {
        return false;
    }
    record_table const& records = context.records_;
    if (records.phase_[*row] == record_phase::moved ||
        records.phase_[*row] == record_phase::moving)
    {
        answer_watcher(context, from, answer_kind::not_here, {.key_ = job},
                       records.moved_to_[*row]);
        return true;
    }
    if (asked != nullptr && !records.spec_[*row]->has_same_content(*asked))
    {
        answer_watcher(context, from, answer_kind::state,
                       {.key_ = job,
                        .state_ = job_state::not_run,
                        .reason_ = decide::reason_other_content});
        return true;
    }
    bool const refused = records.result_[*row] != nullptr &&
                         records.result_[*row]->state_ == job_state::not_run;
    if (refused && records.phase_[*row] == record_phase::closing)
    {
        watch_job(context, job, from); // answered when it is written
        return true;
    }
    if (records.result_[*row] != nullptr)
    {
        answer_watcher(context, from, answer_kind::state,
                       *records.result_[*row]);
        return true;
    }
    watch_job(context, job, from);
    if (records.phase_[*row] == record_phase::recorded)
    {
        auto const driver = context.drivers_.index_.find(from.shard_);
        auto const known =
            decide::find_result(*context.drivers_.scheduler_[*driver], job);
        // While it is passed on, its own scheduler calls it not run.
        bool const leaves = known && known->state_ == job_state::not_run &&
                            known->reason_ == decide::reason_domain_out;
        answer_watcher(context, from, answer_kind::state,
                       known && !leaves ? *known : job_result{.key_ = job});
    }
    return true;
}

// Answers from the scheduler. Returns true when it knows the job.
bool answer_from_scheduler(node& context, std::size_t driver,
                           watcher const& from, job_key const& job,
                           job_spec const* asked)
{
    decide::scheduler const& scheduler = *context.drivers_.scheduler_[driver];
    auto const               known = decide::find_result(scheduler, job);
    if (!known)
    {
        return false;
    }
    auto const spec = decide::find_spec(scheduler, job);
    if (asked != nullptr && spec != nullptr && !spec->has_same_content(*asked))
    {
        answer_watcher(context, from, answer_kind::state,
                       {.key_ = job,
                        .state_ = job_state::not_run,
                        .reason_ = decide::reason_other_content});
        return true;
    }
    if (known->state_ == job_state::not_run &&
        known->reason_ == decide::reason_domain_out)
    {
        answer_watcher(context, from, answer_kind::not_here, {.key_ = job});
        return true;
    }
    if (!is_final(known->state_))
    {
        watch_job(context, job, from);
    }
    answer_watcher(context, from, answer_kind::state, *known);
    return true;
}

std::shared_ptr<job_result const> make_moved_result(job_key const&  job,
                                                    shard_id const& to)
{
    return std::make_shared<job_result const>(
        job_result{.key_ = job,
                   .state_ = job_state::not_run,
                   .reason_ = reason_moved + format_key(to)});
}

void write_record(node& context, shard_id const& shard,
                  std::shared_ptr<job_spec const> const&   spec,
                  std::shared_ptr<job_result const> const& result)
{
    post_to_control(context, state::job_record{shard, spec, result});
}

// Sends an idempotent request away from a failure domain that is out of service
// and keeps its id, so that a repeated submission goes the same way.
void decline_request(node& context, std::size_t driver, watcher const& from,
                     submit_passed const& input)
{
    job_key const& job = input.spec_.key_;
    if (!input.may_be_known_)
    {
        answer_watcher(context, from, answer_kind::not_here, {.key_ = job});
        return;
    }
    if (context.drivers_.complete_[driver] == 0)
    {
        return; // may run on an unreached target; the call is passed again
    }
    std::size_t const row =
        append_record(context.records_, input.shard_,
                      std::make_shared<job_spec const>(input.spec_));
    context.records_.phase_[row] = record_phase::moved;
    plan_record(
        context, row,
        context.now_.after(context.settings_.decide_.result_keep_micros_));
    answer_watcher(context, from, answer_kind::not_here, {.key_ = job});
}

void accept_submit(node& context, std::size_t driver, watcher const& from,
                   submit_passed const& input)
{
    job_key const& job = input.spec_.key_;
    if (input.may_be_known_ && may_have_run(context, driver))
    {
        context.uncertain_jobs_.emplace(job, input.shard_);
    }
    if (!input.spec_.traceparent_.empty())
    {
        context.job_spans_.emplace(
            job, open_span{input.spec_.traceparent_,
                           make_traceparent(context, input.spec_.traceparent_),
                           context.now_, input.shard_});
    }
    watch_job(context, job, from);
    if (needs_journal(input.spec_))
    {
        auto const spec = std::make_shared<job_spec const>(input.spec_);
        append_record(context.records_, input.shard_, spec);
        write_record(context, input.shard_, spec, nullptr);
        return;
    }
    bool const may_run =
        input.may_be_known_ && context.drivers_.complete_[driver] == 0;
    post_to_shard(
        context, driver,
        decide::job_submitted{.spec_ = input.spec_, .may_run_ = may_run});
}

} // namespace

void take_submit(node& context, watcher const& from, submit_passed const& input)
{
    auto const driver = context.drivers_.index_.find(input.shard_);
    if (!driver || context.drivers_.epoch_[*driver] != input.epoch_)
    {
        answer_watcher(context, from, answer_kind::not_owner,
                       {.key_ = input.spec_.key_});
        return;
    }
    job_key const& job = input.spec_.key_;
    if (auto const kind = find_refusal(context.refusals_, from, job))
    {
        answer_watcher(context, from, *kind,
                       {.key_ = job,
                        .state_ = job_state::not_run,
                        .reason_ = "the call was refused before"});
        return;
    }
    if (answer_from_record(context, from, job, &input.spec_) ||
        answer_from_scheduler(context, *driver, from, job, &input.spec_))
    {
        return;
    }
    // Journaled work is accepted and then passed on by its scheduler, so that
    // its home shard always knows where it is.
    if (!is_in_service(context, input.shard_.domain_) &&
        !needs_journal(input.spec_))
    {
        decline_request(context, *driver, from, input);
        return;
    }
    accept_submit(context, *driver, from, input);
}

void take_lookup(node& context, watcher const& from, lookup_passed const& input)
{
    auto const driver = context.drivers_.index_.find(input.shard_);
    if (!driver)
    {
        answer_watcher(context, from, answer_kind::not_owner,
                       {.key_ = input.job_});
        return;
    }
    if (answer_from_record(context, from, input.job_, nullptr) ||
        answer_from_scheduler(context, *driver, from, input.job_, nullptr))
    {
        return;
    }
    bool const in_service = is_in_service(context, input.shard_.domain_);
    if (in_service && context.drivers_.complete_[*driver] == 0)
    {
        return; // may run on an unreached target; the call is passed again
    }
    answer_watcher(context, from,
                   in_service ? answer_kind::no_record : answer_kind::not_here,
                   {.key_ = input.job_});
}

void take_cancel(node& context, cancel_passed const& input)
{
    auto const driver = context.drivers_.index_.find(input.shard_);
    if (!driver)
    {
        return;
    }
    std::vector<job_key> known;
    for (job_id const& id : input.jobs_)
    {
        job_key const job{input.team_, id};
        auto const    record = context.records_.index_.find(job);
        if (record && context.records_.phase_[*record] == record_phase::writing)
        {
            context.records_.canceled_[*record] = 1;
        }
        known.push_back(job);
    }
    post_to_shard(context, *driver, decide::jobs_canceled{known});
}

// 4. Journal

namespace
{

void acknowledge_ends(node& context, std::size_t row)
{
    for (auto const& [target, task] :
         std::exchange(context.records_.ends_[row], {}))
    {
        acknowledge_end(context, target, task);
    }
}

// The acceptance is written: the job may be dispatched from now on.
void start_recorded(node& context, std::size_t row, std::size_t driver)
{
    record_table& records = context.records_;
    records.phase_[row] = record_phase::recorded;
    job_spec const& spec = *records.spec_[row];
    post_to_shard(context, driver,
                  decide::job_submitted{.spec_ = spec, .recorded_ = true});
    if (records.canceled_[row] != 0)
    {
        post_to_shard(context, driver, decide::jobs_canceled{{spec.key_}});
    }
}

void finish_job_span(node& context, job_key const& job)
{
    auto const span = context.job_spans_.find(job);
    if (span != context.job_spans_.end())
    {
        finish_span(context, "owner", span->second, format_key(job));
        context.job_spans_.erase(span);
    }
}

// The acceptance was not written: nothing was dispatched, nothing will be.
void refuse_unrecorded(node& context, std::size_t row,
                       state::job_recorded const& input)
{
    remove_record(context.records_, row);
    finish_job_span(context, input.job_);
    bool const uncertain = context.uncertain_jobs_.erase(input.job_) > 0;
    answer_watchers(
        context, input.job_, answer_kind::state,
        {.key_ = input.job_,
         .state_ = uncertain ? job_state::unknown : job_state::not_run,
         .reason_ = input.reason_,
         .retry_after_micros_ = 2 * micros_per_second});
}

void close_recorded(node& context, std::size_t row)
{
    record_table& records = context.records_;
    records.phase_[row] = record_phase::closed;
    plan_record(
        context, row,
        context.now_.after(context.settings_.decide_.result_keep_micros_));
    acknowledge_ends(context, row);
    job_result const result = *records.result_[row];
    if (result.state_ == job_state::not_run)
    {
        answer_watchers(context, result.key_, answer_kind::state, result);
    }
}

std::shared_ptr<job_result const> without_large_body(job_result const& result)
{
    if (result.body_ == nullptr || result.body_->size() <= journal_body_bytes)
    {
        return std::make_shared<job_result const>(result);
    }
    return std::make_shared<job_result const>(
        job_result{.key_ = result.key_,
                   .state_ = result.state_,
                   .outcome_ = result.outcome_,
                   .attempt_ = result.attempt_,
                   .reason_ = "the answer was too large to be kept",
                   .target_ = result.target_,
                   .owner_ = result.owner_});
}

} // namespace

void take_recorded(node& context, state::job_recorded const& input)
{
    auto const row = context.records_.index_.find(input.job_);
    auto const driver = context.drivers_.index_.find(input.shard_);
    if (!row || !driver)
    {
        return;
    }
    switch (context.records_.phase_[*row])
    {
    case record_phase::writing:
        input.recorded_ ? start_recorded(context, *row, *driver)
                        : refuse_unrecorded(context, *row, input);
        break;
    case record_phase::closing:
        if (input.recorded_)
        {
            close_recorded(context, *row);
        }
        else // the store is slow; the result has to get there
        {
            plan_record(context, *row, context.now_.after(rewrite_micros));
        }
        break;
    case record_phase::moving:
        if (input.recorded_)
        {
            context.records_.phase_[*row] = record_phase::moved;
            plan_record(context, *row, context.now_.after(moved_keep_micros));
            answer_watchers(context, input.job_, answer_kind::not_here,
                            {.key_ = input.job_},
                            context.records_.moved_to_[*row]);
        }
        else // another shard has the job: "not run" would be false
        {
            plan_record(context, *row, context.now_.after(rewrite_micros));
        }
        break;
    case record_phase::moved:
        if (input.recorded_)
        {
            answer_watchers(context, input.job_, answer_kind::not_here,
                            {.key_ = input.job_});
        }
        else
        {
            refuse_unrecorded(context, *row, input);
        }
        break;
    case record_phase::recorded:
    case record_phase::closed:
        break;
    }
}

// No shard took the job; it stays with its own until one does.
void retry_transfer(node& context, job_key const& job)
{
    auto const row = context.records_.index_.find(job);
    if (row && context.records_.phase_[*row] == record_phase::recorded)
    {
        plan_record(context, *row, context.now_.after(transfer_retry_micros));
    }
}

// 5. Schedulers

namespace
{

void finish_job(node& context, job_result const& result)
{
    finish_job_span(context, result.key_);
    auto const row = context.records_.index_.find(result.key_);
    if (row && context.records_.phase_[*row] == record_phase::recorded)
    {
        record_table& records = context.records_;
        records.phase_[*row] = record_phase::closing;
        records.result_[*row] = std::make_shared<job_result const>(result);
        write_record(context, records.shard_[*row], records.spec_[*row],
                     without_large_body(result));
    }
}

// A job that its shard can't run any more: its failure domain is out.
void send_job_away(node& context, std::size_t driver, job_result const& result)
{
    shard_id const& shard = context.drivers_.index_.key(driver);
    auto const      row = context.records_.index_.find(result.key_);
    if (row && context.records_.phase_[*row] == record_phase::recorded)
    {
        job_spec const spec = *context.records_.spec_[*row];
        open_transfer(context, shard, spec);
        return; // watchers are told once the transfer has succeeded
    }
    context.uncertain_jobs_.erase(result.key_);
    finish_job_span(context, result.key_);
    answer_watchers(context, result.key_, answer_kind::not_here, result);
}

void finish_transfer(node& context, job_key const& job, shard_id const& to)
{
    auto const row = context.records_.index_.find(job);
    if (!row || context.records_.phase_[*row] != record_phase::recorded)
    {
        return;
    }
    record_table& records = context.records_;
    records.phase_[*row] = record_phase::moving;
    records.moved_to_.replace(*row, to);
    records.result_[*row] = make_moved_result(job, to);
    write_record(context, records.shard_[*row], records.spec_[*row],
                 records.result_[*row]);
    acknowledge_ends(context, *row);
    context.uncertain_jobs_.erase(job);
    finish_job_span(context, job);
}

} // namespace

// An unknown outcome leaves no record at the other shard. Idempotent work is
// passed on again, and the other shard knows it by its id; other work ends
// here.
void end_transfer(node& context, job_result const& result, shard_id const& to)
{
    auto const row = context.records_.index_.find(result.key_);
    if (!row)
    {
        return;
    }
    bool const unknown = result.state_ == job_state::unknown;
    if (result.state_ == job_state::not_run ||
        (unknown && context.records_.spec_[*row]->idempotent_))
    {
        retry_transfer(context, result.key_);
        return;
    }
    if (unknown)
    {
        finish_job(context, result);
        answer_watchers(context, result.key_, answer_kind::state, result);
        return;
    }
    finish_transfer(context, result.key_, to);
}

namespace
{

job_result qualify_result(node& context, job_result const& result)
{
    bool const uncertain = is_final(result.state_) &&
                           context.uncertain_jobs_.erase(result.key_) > 0;
    if (!uncertain || result.state_ != job_state::not_run)
    {
        return with_owner(context, result);
    }
    return with_owner(context,
                      {.key_ = result.key_,
                       .state_ = job_state::unknown,
                       .reason_ = "an earlier owner may have run it; now: " +
                                  result.reason_});
}

void obey(node& context, std::size_t driver, decide::job_changed const& order)
{
    if (order.result_.state_ == job_state::not_run &&
        order.result_.reason_ == decide::reason_domain_out)
    {
        send_job_away(context, driver, order.result_);
        return;
    }
    job_result const result = qualify_result(context, order.result_);
    if (is_final(result.state_))
    {
        finish_job(context, result);
        // A refusal that is not written could be followed by a start under the
        // next owner, which finds the job accepted.
        if (result.state_ == job_state::not_run &&
            context.records_.index_.contains(result.key_))
        {
            return;
        }
        answer_watchers(context, result.key_, answer_kind::state, result);
        return;
    }
    // Callers of requests wait for the answer only; fewer messages.
    auto const spec =
        decide::find_spec(*context.drivers_.scheduler_[driver], result.key_);
    if (spec != nullptr && spec->kind_ != work_kind::request)
    {
        answer_watchers(context, result.key_, answer_kind::state, result);
    }
}

void obey(node&                     context, std::size_t /*driver*/,
          decide::start_task const& order)
{
    count(context, counter::tasks_started);
    auto const job_span = context.job_spans_.find(order.task_.job_);
    if (job_span == context.job_spans_.end())
    {
        send_order(context, order.target_, order);
        return;
    }
    // The target continues the trace below the task's span.
    std::string const parent = job_span->second.traceparent_;
    std::string const own = make_traceparent(context, parent);
    context.task_spans_.emplace(
        order.task_,
        open_span{parent, own, context.now_, job_span->second.shard_});
    auto const traced = std::make_shared<job_spec const>(
        copy_spec(*order.spec_, order.spec_->key_, own));
    send_order(context, order.target_,
               decide::start_task{order.task_, order.target_, traced,
                                  order.reservation_});
}

void obey(node& context, std::size_t /*driver*/, decide::stop_task const& order)
{
    send_order(context, order.target_, order);
}

void obey(node&                        context, std::size_t /*driver*/,
          decide::throttle_task const& order)
{
    send_order(context, order.target_, order);
}

// Tells the scheduler the journaled jobs after every target that may run them:
// one that it doesn't know of can't hold a job back.
void submit_restored(node& context, std::size_t driver)
{
    if (context.hosts_read_ == instant())
    {
        return;
    }
    for (job_key const& job :
         std::exchange(context.drivers_.restored_[driver], {}))
    {
        auto const row = context.records_.index_.find(job);
        if (row && context.records_.phase_[*row] == record_phase::recorded)
        {
            post_to_shard(
                context, driver,
                decide::job_submitted{.spec_ = *context.records_.spec_[*row],
                                      .may_run_ = true,
                                      .recorded_ = true});
        }
    }
}

void run_scheduler(node& context, std::size_t driver)
{
    context.drivers_.dirty_[driver] = 0;
    std::vector<decide::command> orders;
    decide::run_tick(*context.drivers_.scheduler_[driver], context.now_,
                     orders);
    for (decide::command const& order : orders)
    {
        std::visit(
            [&context, driver](auto const& value)
            {
                obey(context, driver, value);
            },
            order);
    }
}

void report_load(node& context, std::size_t driver)
{
    context.drivers_.load_deadline_[driver] =
        context.now_.after(load_interval_micros);
    std::vector<state::team_demand> teams;
    for (decide::team_load const& load :
         decide::list_team_loads(*context.drivers_.scheduler_[driver]))
    {
        teams.push_back({load.team_, load.used_, load.waiting_});
    }
    post_to_control(
        context, state::load_noted{context.drivers_.index_.key(driver), teams});
}

} // namespace

void drive_shards(node& context)
{
    driver_table& drivers = context.drivers_;
    for (std::size_t row = 0; row < drivers.index_.size(); ++row)
    {
        if (drivers.ready_[row] == 0 &&
            drivers.ready_deadline_[row] <= context.now_ &&
            context.hosts_read_ != instant())
        {
            drivers.ready_[row] = 1;
            context.routes_stale_ = true;
            context.heartbeat_deadline_ = context.now_;
        }
        submit_restored(context, row);
        if (drivers.dirty_[row] != 0 ||
            decide::next_deadline(*drivers.scheduler_[row]) <= context.now_)
        {
            run_scheduler(context, row);
        }
        if (drivers.load_deadline_[row] <= context.now_)
        {
            report_load(context, row);
        }
    }
}

// 6. Expiry of journal entries

namespace
{

// The job's own failure domain may have come back meanwhile.
void repeat_transfer(node& context, std::size_t row)
{
    record_table&  records = context.records_;
    job_spec const spec = *records.spec_[row];
    shard_id const shard = records.shard_[row];
    auto const     driver = context.drivers_.index_.find(shard);
    records.keep_deadline_[row] = instant::never();
    if (driver && is_in_service(context, shard.domain_))
    {
        post_to_shard(context, *driver,
                      decide::job_submitted{.spec_ = spec, .recorded_ = true});
        // Told again as to be moved when it was dispatched before.
        return;
    }
    open_transfer(context, shard, spec);
}

} // namespace

void expire_records(node& context)
{
    expire_refusals(context.refusals_, context.now_);
    if (context.now_ < context.record_deadline_)
    {
        return;
    }
    context.record_deadline_ = instant::never();
    record_table& records = context.records_;
    for (std::size_t row = records.index_.size(); row-- > 0;)
    {
        instant const keep = records.keep_deadline_[row];
        if (keep > context.now_)
        {
            context.record_deadline_ = std::min(context.record_deadline_, keep);
            continue;
        }
        if (records.phase_[row] == record_phase::recorded)
        {
            repeat_transfer(context, row);
            continue;
        }
        if (records.phase_[row] == record_phase::closing ||
            records.phase_[row] == record_phase::moving)
        {
            records.keep_deadline_[row] = instant::never();
            write_record(context, records.shard_[row], records.spec_[row],
                         without_large_body(*records.result_[row]));
            continue;
        }
        if (needs_journal(*records.spec_[row]))
        {
            write_record(context, records.shard_[row], nullptr,
                         records.result_[row]);
        }
        remove_record(records, row);
    }
}

} // namespace fescuevane::entry
