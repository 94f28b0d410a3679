// Purpose: system: runs the planners of owned shards, forwards their commands
// to sessions, journal and policy service, and loads their jobs.
//
// Index of sections
//   1. Policies
//   2. Loading
//   3. Ticks
#include "cell/node.hpp"

#include "cell/record_error.hpp"
#include "cell/records.hpp"
#include "plan/wanted_requests.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace fescuevane::cell
{

// 1. Policies

namespace
{

// Sets `removed_limits_` of an owned shard.
void find_removed_organisations(node const& context, shard_id const& shard,
                                owned_row& own)
{
    std::set<organisation_id> configured;
    for (organisation_entry const& entry : context.config_->organisations_)
    {
        configured.insert(entry.share_.id_);
    }
    std::map<organisation_id, staged_job const*> latest;
    for (record_row const& record : context.records_)
    {
        staged_job const& job = *record.job_;
        if (record.shard_ != shard || !job.policy_ ||
            job.organisation_.empty() || configured.contains(job.organisation_))
        {
            continue;
        }
        staged_job const*& known = latest[job.organisation_];
        if (known == nullptr ||
            known->accepted_unix_ms_ < job.accepted_unix_ms_)
        {
            known = &job;
        }
    }
    own.removed_limits_.clear();
    for (auto const& [id, job] : latest)
    {
        own.removed_limits_[id] = job->policy_->limit_;
    }
}

} // namespace

void set_configuration(node& context, shard_id const& shard)
{
    owned_row* const own = context.owned_.find(shard);
    if (own != nullptr && context.config_)
    {
        find_removed_organisations(context, shard, *own);
        set_policies(context, shard);
    }
}

void set_policies(node& context, shard_id const& shard)
{
    owned_row& own = *context.owned_.find(shard);
    if (!own.planner_ || !context.config_)
    {
        return;
    }
    std::vector<queue_policy> queues;
    for (queue_route const& route : context.config_->routes_)
    {
        queues.push_back(route.policy_);
    }
    auto const shards = static_cast<double>(
        context.layouts_.size() * count_shards(context, shard.domain_));
    std::vector<organisation_share> organisations;
    for (auto const& [id, limit] : own.removed_limits_)
    {
        organisations.push_back(
            {id, 0, scale_limit(limit, find_usable_part(context, shard, id))});
    }
    std::vector<plan::active_limit_claim> turns;
    for (organisation_entry const& entry : context.config_->organisations_)
    {
        // The callers of an organisation aren't spread evenly over the domains.
        constexpr double       uneven_factor = 1.5;
        organisation_id const& id = entry.share_.id_;
        resources const&       limit = *find_limit(context, id);
        organisations.push_back(
            {id, entry.share_.weight_ * uneven_factor / shards,
             scale_limit(limit, find_usable_part(context, shard, id))});
        if (!limit.is_zero())
        {
            auto const turn = context.turns_.find(id);
            turns.push_back(
                {.organisation_ = id,
                 .limit_ = limit,
                 .withheld_ = find_withheld(context, shard, id, limit),
                 .granted_ = turn != context.turns_.end() &&
                             turn->second.shard_ == shard});
        }
    }
    plan::post_event(*own.planner_, plan::queues_set{std::move(queues)});
    plan::post_event(*own.planner_,
                     plan::organisations_set{std::move(organisations)});
    plan::post_event(*own.planner_,
                     plan::limit_claims_updated{std::move(turns)});
    plan::post_event(*own.planner_, plan::domain_service_changed{
                                        !context.out_.contains(shard.domain_)});
    own.plan_needed_ = true;
}

// 2. Loading

namespace
{

// The job may have been submitted to another shard of this host as well, whose
// write is still open. The row shows which shard accepted it.
void drop_open_submission(node& context, job_id const& id)
{
    record_row* const record = context.records_.find(id);
    if (record == nullptr)
    {
        return;
    }
    if (owned_row* const own = context.owned_.find(record->shard_))
    {
        own->parts_[record->part_].dirty_.erase(id);
    }
    answer_waiting(context, *record, call_kind::submit, job_outcome::accepted);
    remove_record(context, id);
}

void load_job(node& context, request_row const& request, stored_row const& row)
{
    if (!may_belong(row.value_, request.shard_))
    {
        return;
    }
    job_record const record = read_job(row.value_);
    if (record.shard_ != request.shard_)
    {
        return;
    }
    owned_row& own = *context.owned_.find(request.shard_);
    drop_open_submission(context, record.job_->id_);
    record_row& known = context.records_.ensure(record.job_->id_);
    known = record_row{.shard_ = record.shard_,
                       .part_ = request.part_,
                       .job_ = record.job_,
                       .spec_text_ = record.spec_text_,
                       .phase_ = record.progress_.phase_,
                       .revision_ = row.revision_,
                       .stored_ = true,
                       .withdrawn_ = record.progress_.withdrawn_};
    if (known.withdrawn_)
    {
        own.withdrawn_.insert(record.job_->id_);
    }
    restore_delegations(context, record);
    if (is_final(record.progress_.phase_))
    {
        keep_result(context, known);
        return;
    }
    add_alias(context, *record.job_);
    plan::post_event(
        *own.planner_,
        plan::job_added{.job_ = record.job_,
                        .progress_ = record.progress_,
                        .accepted_at_ = accepted_at(context, *record.job_),
                        .recovered_ = true});
}

} // namespace

void finish_loading(node& context, shard_id const& shard)
{
    owned_row& own = *context.owned_.find(shard);
    if (own.phase_ != owned_phase::loading || !own.allotments_loaded_ ||
        !own.grants_.loaded_ ||
        !std::all_of(own.parts_.begin(), own.parts_.end(),
                     [](journal_part const& part)
                     {
                         return part.loaded_;
                     }))
    {
        return;
    }
    own.phase_ = owned_phase::serving;
    own.plan_needed_ = true;
    context.shards_.find(shard)->serving_ = true;
    log_event(context, "shard_serving",
              {{"shard", write_shard_name(shard)},
               {"epoch", std::to_string(own.epoch_)},
               {"jobs", std::to_string(context.records_.size())}});
    adopt_granted(context, shard);
    set_configuration(context, shard); // its jobs are known now
    open_sessions(context, shard);
    note_grants_changed(context, shard, true);
    context.heartbeat_at_ = context.now_; // report at once, callers wait
    std::vector<deferred_call> parked;
    parked.swap(context.parked_);
    for (deferred_call const& call : parked)
    {
        serve_call(context, call.origin_, call.call_); // may park it again
    }
}

void end_load(node& context, request_row const& request,
              store_reply const& reply)
{
    owned_row* const own = context.owned_.find(request.shard_);
    if (own == nullptr || own->phase_ != owned_phase::loading)
    {
        return;
    }
    journal_part& part = own->parts_[request.part_];
    part.request_ = 0;
    if (reply.outcome_ != store_outcome::done)
    {
        if (reply.outcome_ == store_outcome::unknown)
        {
            part.load_rows_ = std::max(1U, part.load_rows_ / 2);
        }
        part.retry_at_ =
            context.now_.after(context.settings_.store_retry_micros_);
        return;
    }
    for (stored_row const& row : reply.rows_)
    {
        try
        {
            load_job(context, request, row);
        }
        catch (record_error const& error)
        {
            log_event(context, "row_unreadable",
                      {{"key", row.key_.key_}, {"error", error.what()}});
        }
        part.load_from_ = row.key_.key_ + '!'; // after this key
    }
    bool const is_full = reply.rows_.size() >= part.load_rows_;
    part.loaded_ = !reply.truncated_ && !is_full;
    if (reply.truncated_ && reply.rows_.empty())
    {
        // All rows had to be left out, so there is no key to go on from. A
        // larger read reaches later ones.
        part.retry_at_ =
            context.now_.after(context.settings_.store_retry_micros_);
    }
    part.load_rows_ =
        std::min(2 * part.load_rows_, context.settings_.load_rows_max_);
    finish_loading(context, request.shard_);
}

// 3. Ticks

namespace
{

// Executes one command of a planner.
struct command_dispatcher
{
    node&           context_;
    shard_id const& shard_;

    // Age of the target's latest reply, which showed that it accepts the epoch.
    std::int64_t contact_age_ms(target_id const& target) const
    {
        session_row const* const session = context_.sessions_.find(target);
        return session == nullptr
                   ? 0
                   : session->contact_at_.remaining_until(context_.now_) /
                         micros_per_milli;
    }

    char const* is_recovered(job_id const& job) const
    {
        return plan::is_recovered(*context_.owned_.find(shard_)->planner_, job)
                   ? "true"
                   : "false";
    }

    void operator()(plan::start_run const& order) const
    {
        log_event(
            context_, "start",
            {{"job", order.run_.stage_.job_.str()},
             {"step", std::to_string(order.run_.stage_.step_)},
             {"index", std::to_string(order.run_.index_)},
             {"run", std::to_string(order.run_.run_)},
             {"target", order.target_.str()},
             {"shard", write_shard_name(shard_)},
             {"epoch", std::to_string(context_.owned_.find(shard_)->epoch_)},
             {"contact_ms", std::to_string(contact_age_ms(order.target_))},
             {"recovered", is_recovered(order.run_.stage_.job_)},
             {"config",
              std::to_string(context_.config_ ? context_.config_->version_
                                              : 0)}});
        queue_order(context_, shard_, order);
    }

    void operator()(plan::stop_run const& order) const
    {
        queue_order(context_, shard_, order);
    }

    void operator()(plan::pace_run const& order) const
    {
        queue_order(context_, shard_, order);
    }

    void operator()(plan::advice_request const& order) const
    {
        send_to_advice_proxy(context_, shard_, order);
    }

    void operator()(plan::answer_offer const& order) const
    {
        report_offer(context_, shard_, order);
    }

    void operator()(plan::job_changed const& order) const
    {
        record_row* const record = context_.records_.find(order.id_);
        if (record == nullptr)
        {
            return;
        }
        mark_changed(context_, order.id_, false);
        note_end(context_, *record);
        if (record->end_change_ != 0 && !record->waiting_.empty())
        {
            expedite_write(context_, *record);
        }
    }

    void operator()(plan::note const& order) const
    {
        log_event(context_, order.what_,
                  {{"job", order.run_.stage_.job_.str()},
                   {"step", std::to_string(order.run_.stage_.step_)},
                   {"index", std::to_string(order.run_.index_)},
                   {"run", std::to_string(order.run_.run_)},
                   {"target", order.target_.str()},
                   {"reason", order.why_}});
    }
};

} // namespace

void drive_planners(node& context)
{
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        owned_row& own = context.owned_[row];
        if (own.phase_ == owned_phase::serving &&
            context.on_time_.since() == context.now_)
        {
            plan::post_event(*own.planner_,
                             plan::on_time_changed{context.on_time_});
        }
        // A shard that is being handed over changes no jobs any more, so that
        // its journal drains; its next owner sees what ends meanwhile. Without
        // a configuration neither the limits nor the organisations that need
        // tickets are known.
        if (own.phase_ != owned_phase::serving || own.releasing_ ||
            !context.config_)
        {
            continue;
        }
        bool const due = own.plan_needed_ ||
                         plan::next_deadline(*own.planner_) <= context.now_;
        if (due && own.plan_after_ > context.now_)
        {
            wake_at(context, own.plan_after_);
            continue;
        }
        if (due)
        {
            own.plan_needed_ = false;
            own.plan_after_ =
                context.now_.after(context.settings_.plan_gap_micros_);
            std::vector<plan::command> orders;
            plan::run_tick(*own.planner_, context.now_, context.unix_ms_,
                           orders);
            own.most_requests_ = std::max(
                own.most_requests_, plan::count_long_requests(*own.planner_));
            shard_id const shard = context.owned_.key(row);
            for (plan::command const& order : orders)
            {
                std::visit(command_dispatcher{context, shard}, order);
            }
        }
        wake_at(context, plan::next_deadline(*own.planner_));
    }
}

} // namespace fescuevane::cell
