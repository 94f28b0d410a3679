// Purpose: system: claims shards that have no working owner.
//
// Index of sections
//   1. Vacancy
//   2. Candidates
//   3. Claims
#include "cell/node.hpp"

#include "cell/records.hpp"

#include <algorithm>
#include <optional>

namespace fescuevane::cell
{

// 1. Vacancy

namespace
{

// Returns since when a shard has had no working owner, or nothing while it has
// one.
std::optional<instant> find_vacancy(node& context, shard_row& shard)
{
    settings const& values = context.settings_;
    if (shard.epoch_ == 0)
    {
        // Not before the row was created, so that hosts claim by their rank.
        return std::max(shard.confirmed_at_,
                        context.started_.after(values.first_claim_micros_));
    }
    if (shard.released_ || shard.owner_ == values.host_)
    {
        // Written by an earlier process of this host, or by a failed claim.
        return shard.confirmed_at_;
    }
    instant contact = shard.confirmed_at_;
    if (host_row const* const host = context.hosts_.find(shard.owner_))
    {
        contact = std::max(contact, host->listed_at_);
    }
    contact = count_silence_from(context, contact);
    if (!is_unresponsive(context, contact))
    {
        shard.suspected_at_ = instant::never();
        wake_at(context, contact.after(values.suspect_micros_ + 1));
        return std::nullopt;
    }
    shard.suspected_at_ = std::min(shard.suspected_at_, context.now_);
    return shard.suspected_at_;
}

// A host that receives no heartbeats at all is more likely cut off itself, so
// it claims nothing until `isolated_micros_` have passed.
bool is_in_contact(node const& context)
{
    instant latest = context.started_;
    for (host_row const& host : context.hosts_)
    {
        if (host.heard_ && !is_unresponsive(context, host.heard_at_))
        {
            return true;
        }
        latest = std::max(latest, host.heard_at_);
    }
    return context.hosts_.size() <= 1 || latest.remaining_until(context.now_) >
                                             context.settings_.isolated_micros_;
}

} // namespace

// 2. Candidates

double remaining_cpu_share(double cpu_share, std::size_t owned)
{
    return cpu_share / static_cast<double>(owned + 1);
}

std::size_t count_owned(node const& context, host_id const& host)
{
    if (host == context.settings_.host_)
    {
        return context.owned_.size();
    }
    return static_cast<std::size_t>(std::count_if(
        context.shards_.begin(), context.shards_.end(),
        [&host](shard_row const& shard)
        {
            return (shard.released_ ? shard.successor_ : shard.owner_) == host;
        }));
}

// Hosts inside and outside the domain are ranked separately: a host of the
// domain serves it better than a larger one outside.
std::int64_t rank_host(node const& context, domain_id const& domain,
                       host_id const& except)
{
    settings const& values = context.settings_;
    bool const      own_domain = domain == values.domain_;
    double const    own_share = remaining_cpu_share(
           values.cpu_share_, count_owned(context, values.host_));
    std::int64_t ahead = 0;
    for (std::size_t index = 0; index < context.hosts_.size(); ++index)
    {
        host_row const& host = context.hosts_[index];
        host_id const&  id = context.hosts_.key(index);
        bool const      overdue = host.contact_due_ < context.now_;
        if (id == values.host_ || id == except || overdue || host.stopping_ ||
            (host.domain_ == domain) != own_domain)
        {
            continue;
        }
        double const share =
            remaining_cpu_share(host.cpu_share_, count_owned(context, id));
        if (share > own_share || (share == own_share && id < values.host_))
        {
            ++ahead;
        }
    }
    return ahead;
}

namespace
{

// Rank of this host among the candidates for a claim, 0: first.
std::int64_t rank_candidate(node const& context, shard_id const& shard,
                            shard_row const& row)
{
    settings const& values = context.settings_;
    if (row.released_ && row.successor_ == values.host_)
    {
        return 0;
    }
    return rank_host(context, shard.domain_, row.owner_) +
           (row.released_ ? 1 : 0);
}

target_id const* find_target_in(node const& context, domain_id const& domain)
{
    for (std::size_t row = 0; row < context.sessions_.size(); ++row)
    {
        if (context.sessions_[row].info_ &&
            context.sessions_[row].info_->domain_ == domain)
        {
            return &context.sessions_.key(row);
        }
    }
    return nullptr;
}

constexpr std::int64_t probe_interval_micros = 250'000;
constexpr std::int64_t probe_validity_micros = 100'000; // age limit of a reply

// True when a target of the domain has just replied. Otherwise a network
// partition between the domains may explain the missing heartbeats, and the
// owner may still be running.
bool reaches_domain(node& context, shard_id const& shard, shard_row& row)
{
    settings const& values = context.settings_;
    // Right after a partition ends, targets reply before heartbeats of hosts
    // arrive; right after it begins, their latest replies are still recent.
    bool const reached =
        row.reached_at_.after(probe_validity_micros) >= context.now_ &&
        row.reached_since_.after(values.suspect_micros_ +
                                 values.suspect_micros_ / 2) <= context.now_;
    target_id const* const target = find_target_in(context, shard.domain_);
    if (row.probe_after_ > context.now_)
    {
        wake_at(context, row.probe_after_);
        return reached;
    }
    row.probe_after_ = context.now_.after(probe_interval_micros);
    // Without a listed target there is nothing to probe or to take over.
    if (target != nullptr)
    {
        std::uint64_t const request = next_request(context);
        context.probes_[request] = shard;
        context.outbox_.push_back(hold_target{
            .request_ = request,
            .target_ = *target,
            .address_ = context.sessions_.find(*target)->info_->address_,
            .deadline_ = context.now_.after(values.hold_slack_micros_)});
    }
    wake_at(context, row.probe_after_);
    return reached;
}

bool may_claim(node& context, shard_id const& shard, shard_row& row)
{
    std::optional<instant> const vacant = find_vacancy(context, row);
    if (!vacant)
    {
        return false;
    }
    settings const& values = context.settings_;
    bool const      foreign = shard.domain_ != values.domain_;
    // For a shard that this host released, the successor has the first claim.
    bool const         own_row = row.owner_ == values.host_ && !row.released_;
    std::int64_t const delay =
        own_row
            ? 0
            : rank_candidate(context, shard, row) * values.claim_step_micros_ +
                  (foreign && !row.released_ ? values.foreign_claim_micros_
                                             : 0);
    instant const due = vacant->after(delay);
    if (due > context.now_)
    {
        wake_at(context, due);
        return false;
    }
    bool const free = row.epoch_ == 0 || own_row || row.released_;
    if (!free && !is_in_contact(context))
    {
        wake_at(context, context.now_.after(values.suspect_micros_));
        return false;
    }
    return !foreign || row.released_ || own_row ||
           reaches_domain(context, shard, row);
}

} // namespace

// 3. Claims

namespace
{

std::string format_owner(node const& context, shard_id const& shard,
                         owned_row const& own, bool released,
                         host_id const& successor)
{
    return write_owner({context.settings_.host_, context.settings_.incarnation_,
                        context.settings_.address_, own.epoch_, released,
                        successor, own.exclusive_since_ <= context.now_,
                        released && are_stops_over(context, shard)});
}

} // namespace

// Writes the owner row of a shard in one part of the store, on condition that
// its revision hasn't changed since it was read.
std::uint64_t write_owner_row(node& context, shard_id const& shard,
                              std::uint32_t part, request_kind kind,
                              bool released, host_id const& successor)
{
    owned_row const&    own = *context.owned_.find(shard);
    revision const      seen = own.parts_[part].fenced_
                                   ? own.parts_[part].fence_
                                   : context.shards_.find(shard)->revisions_[part];
    row_key const       key = write_fence_key(shard, part);
    std::uint64_t const request = next_request(context);
    context.requests_.ensure(request) = {
        .kind_ = kind, .shard_ = shard, .part_ = part, .sent_ = context.now_};
    context.outbox_.push_back(
        store_transact{.request_ = request,
                       .conditions_ = {{key, seen}},
                       .writes_ = {{key, format_owner(context, shard, own,
                                                      released, successor)}},
                       .deadline_ = store_deadline(context)});
    return request;
}

namespace
{

void claim_shard(node& context, shard_id const& shard, shard_row const& row)
{
    owned_row& own = context.owned_.ensure(shard);
    own.epoch_ = row.epoch_ + 1;
    for (epoch const known : row.epochs_)
    {
        own.epoch_ = std::max(own.epoch_, known + 1);
    }
    own.parts_.resize(context.settings_.job_parts_);
    own.predecessor_ = row.owner_;
    own.predecessor_incarnation_ = row.owner_incarnation_;
    host_row const* const predecessor = context.hosts_.find(row.owner_);
    own.predecessor_stopped_ =
        row.epoch_ == 0 || row.released_ ||
        row.owner_ == context.settings_.host_ ||
        (predecessor != nullptr &&
         predecessor->incarnation_ > row.owner_incarnation_);
    own.predecessor_exclusive_ =
        row.epoch_ <= 1 || (row.released_ && row.exclusive_);
    own.predecessor_stops_over_ = row.released_ && row.stops_over_;
    log_event(context, "claim",
              {{"shard", write_shard_name(shard)},
               {"epoch", std::to_string(own.epoch_)},
               {"previous", row.owner_.str()},
               {"released", row.released_ ? "true" : "false"},
               {"stopped", own.predecessor_stopped_ ? "true" : "false"},
               {"exclusive", own.predecessor_exclusive_ ? "true" : "false"},
               {"stops_over", own.predecessor_stops_over_ ? "true" : "false"}});
    own.request_ =
        write_owner_row(context, shard, 0, request_kind::claim, false, {});
}

} // namespace

void claim_shards(node& context)
{
    // The new owner has to know all targets that may still run work of the
    // shard.
    if (!context.members_known_ || !context.targets_known_ ||
        !context.announced_ || !context.store_ok_ || context.stopping_)
    {
        return;
    }
    for (std::size_t index = 0; index < context.shards_.size(); ++index)
    {
        shard_id const shard = context.shards_.key(index);
        shard_row&     row = context.shards_[index];
        // Settling work of former owners needs the limits of its queue and its
        // organisation.
        if (row.epoch_ != 0 && !context.config_)
        {
            continue;
        }
        if (!context.owned_.contains(shard) && may_claim(context, shard, row))
        {
            claim_shard(context, shard, row);
        }
    }
}

namespace
{

bool is_own_record(node const& context, owned_row const& own,
                   stored_row const& row)
{
    owner_record const record = read_owner(row.value_);
    return record.host_ == context.settings_.host_ &&
           record.incarnation_ == context.settings_.incarnation_ &&
           record.epoch_ == own.epoch_;
}

// After a conflict: the revision of this host's own row, which is there when an
// earlier write took effect although its reply was lost.
std::optional<revision> find_own_row(node& context, owned_row const& own,
                                     store_reply const& reply)
{
    for (stored_row const& row : reply.rows_)
    {
        if (row.revision_ != 0 && is_own_record(context, own, row))
        {
            return row.revision_;
        }
    }
    return std::nullopt;
}

} // namespace

void end_claim(node& context, request_row const& request,
               store_reply const& reply)
{
    owned_row* own = context.owned_.find(request.shard_);
    if (own == nullptr)
    {
        return;
    }
    journal_part& part = own->parts_[request.part_];
    part.request_ = 0;
    own->request_ = 0;
    std::optional<revision> written;
    if (reply.outcome_ == store_outcome::done)
    {
        written = reply.revision_;
    }
    else if (reply.outcome_ == store_outcome::conflict)
    {
        written = find_own_row(context, *own, reply);
    }
    if (request.kind_ == request_kind::release)
    {
        if (written)
        {
            drop_shard(context, request.shard_, "handed over");
            return;
        }
        if (reply.outcome_ == store_outcome::conflict)
        {
            drop_shard(context, request.shard_, "another host took it over");
            return;
        }
        own->release_unconfirmed_ |= reply.outcome_ == store_outcome::unknown;
        part.retry_at_ =
            context.now_.after(context.settings_.store_retry_micros_);
        return;
    }
    if (written)
    {
        part.fenced_ = true;
        part.fence_ = *written;
        shard_row& row = *context.shards_.find(request.shard_);
        row.revisions_[request.part_] = *written;
        row.epochs_[request.part_] = own->epoch_;
        if (own->phase_ == owned_phase::claiming)
        {
            own->phase_ = owned_phase::fencing;
            row.owner_ = context.settings_.host_;
            row.owner_incarnation_ = context.settings_.incarnation_;
            row.epoch_ = own->epoch_;
            row.released_ = false;
            row.confirmed_at_ = context.now_;
        }
        return;
    }
    part.retry_at_ =
        context.now_.after(reply.outcome_ == store_outcome::conflict
                               ? 0
                               : context.settings_.store_retry_micros_);
    if (request.kind_ == request_kind::claim &&
        reply.outcome_ != store_outcome::unknown)
    {
        context.owned_.remove(request.shard_);
        shard_row& row = *context.shards_.find(request.shard_);
        // Gives the owner that won the claim time to send heartbeats.
        row.confirmed_at_ = context.now_;
    }
    for (stored_row const& row : reply.rows_)
    {
        apply(context, member_row_changed{row});
    }
}

void load_shards(node& context)
{
    std::vector<shard_id> const owned = context.owned_.keys();
    for (shard_id const& shard : owned)
    {
        owned_row& own = *context.owned_.find(shard);
        if (own.phase_ == owned_phase::claiming && own.request_ == 0)
        {
            if (own.parts_[0].retry_at_ > context.now_)
            {
                wake_at(context, own.parts_[0].retry_at_);
                continue;
            }
            own.request_ = write_owner_row(context, shard, 0,
                                           request_kind::claim, false, {});
        }
        if (own.phase_ == owned_phase::fencing)
        {
            bool all = true;
            for (std::uint32_t index = 1; index < own.parts_.size(); ++index)
            {
                journal_part& part = own.parts_[index];
                all = all && part.fenced_;
                if (part.fenced_ || part.request_ != 0)
                {
                    continue;
                }
                if (part.retry_at_ > context.now_)
                {
                    wake_at(context, part.retry_at_);
                    continue;
                }
                part.request_ = write_owner_row(context, shard, index,
                                                request_kind::fence, false, {});
            }
            if (all)
            {
                own.phase_ = owned_phase::loading;
                // Run numbers have to be unique, and not all numbers of earlier
                // owners are known. So each epoch has a range of its own.
                constexpr std::uint32_t runs_per_epoch = 1000;
                plan::settings          values = context.settings_.plan_;
                own.planner_ = plan::make_planner(
                    {.run_base_ = static_cast<std::uint32_t>(own.epoch_ - 1) *
                                  runs_per_epoch,
                     .early_start_ms_ = values.early_start_ms_,
                     .admission_ = values.admission_,
                     .run_time_model_ = values.run_time_model_,
                     .rack_penalty_ = values.rack_penalty_});
                set_policies(context, shard);
            }
        }
        if (own.phase_ != owned_phase::loading)
        {
            continue;
        }
        load_allotments(context, shard, own);
        load_grants(context, shard, own);
        load_run_times(context, shard, own);
        for (std::uint32_t index = 0; index < own.parts_.size(); ++index)
        {
            journal_part& part = own.parts_[index];
            if (part.loaded_ || part.request_ != 0)
            {
                continue;
            }
            if (part.retry_at_ > context.now_)
            {
                wake_at(context, part.retry_at_);
                continue;
            }
            if (part.load_rows_ == 0)
            {
                part.load_rows_ = context.settings_.load_rows_first_;
            }
            part.request_ = next_request(context);
            context.requests_.ensure(part.request_) = {.kind_ =
                                                           request_kind::load,
                                                       .shard_ = shard,
                                                       .part_ = index,
                                                       .sent_ = context.now_};
            context.outbox_.push_back(
                store_read{.request_ = part.request_,
                           .table_ = "job",
                           .part_ = std::to_string(index),
                           .from_ = part.load_from_,
                           .limit_ = part.load_rows_,
                           .deadline_ = store_deadline(context)});
        }
    }
}

namespace
{

// The shard may be claimed again before replies to these requests arrive, and a
// reply identifies only its request.
void abandon_requests(node& context, shard_id const& shard)
{
    for (request_row& request : context.requests_)
    {
        // Layouts belong to the failure domain and don't depend on ownership.
        if (request.shard_ == shard && request.kind_ != request_kind::layout)
        {
            request.kind_ = request_kind::abandoned;
        }
    }
}

} // namespace

namespace
{

// Runs of the shard whose stop was ordered and whose end isn't known.
std::size_t count_open_stops(node const& context, shard_id const& shard)
{
    std::size_t count = 0;
    for (session_row const& session : context.sessions_)
    {
        if (session.open_ && session.shard_ == shard)
        {
            count += static_cast<std::size_t>(
                std::count_if(session.runs_.begin(), session.runs_.end(),
                              [](auto const& entry)
                              {
                                  return entry.second.stop_wanted_;
                              }));
        }
    }
    return count;
}

// Delegations of the shard, including those whose end isn't stored.
std::size_t count_delegations(node const& context, shard_id const& shard)
{
    return static_cast<std::size_t>(
        std::count_if(context.delegations_.begin(), context.delegations_.end(),
                      [&shard](delegation_row const& row)
                      {
                          return row.shard_ == shard;
                      }));
}

} // namespace

void drop_shard(node& context, shard_id const& shard, std::string const& why)
{
    if (!context.owned_.contains(shard))
    {
        return;
    }
    log_event(
        context, "shard_dropped",
        {{"shard", write_shard_name(shard)},
         {"epoch", std::to_string(context.owned_.find(shard)->epoch_)},
         {"reason", why},
         {"stops", std::to_string(count_open_stops(context, shard))},
         {"delegations", std::to_string(count_delegations(context, shard))}});
    close_sessions(context, shard);
    abandon_requests(context, shard);
    drop_delegations(context, shard);
    drop_spreads(context, shard);
    std::vector<job_id> jobs;
    for (std::size_t row = 0; row < context.records_.size(); ++row)
    {
        if (context.records_[row].shard_ == shard)
        {
            jobs.push_back(context.records_.key(row));
        }
    }
    for (job_id const& job : jobs)
    {
        record_row const record = std::move(*context.records_.find(job));
        context.records_.remove(job);
        remove_alias(context, *record.job_);
        for (waiting_call const& call : record.waiting_)
        {
            // A write may still be in flight, so the outcome is uncertain.
            answer_origin(context, call.origin_,
                          {.outcome_ = job_outcome::uncertain});
        }
    }
    context.owned_.remove(shard);
    std::vector<deferred_call> parked;
    parked.swap(context.parked_);
    for (deferred_call const& call : parked)
    {
        if (call.call_.shard_ == shard)
        {
            answer_origin(context, call.origin_,
                          {.outcome_ = job_outcome::not_owner});
        }
        else
        {
            context.parked_.push_back(call);
        }
    }
}

} // namespace fescuevane::cell
