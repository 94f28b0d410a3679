// Purpose: system and events: membership of hosts, owners of shards, and
// availability of the store.
//
// Index of sections
//   1. Rows of the store
//   2. Heartbeats
//   3. Store
//   4. Configuration
#include "cell/node.hpp"

#include "cell/cell.hpp"
#include "cell/record_error.hpp"
#include "cell/records.hpp"
#include "cell/sessions.hpp"

#include <algorithm>
#include <charconv>

namespace fescuevane::cell
{
namespace
{

constexpr char const* host_prefix = "host/";
constexpr char const* shard_prefix = "shard/";
constexpr char const* allotment_prefix = "allotment/";

// Hosts that were unresponsive for this long get heartbeats less often, but
// still get them: a host that owns nothing only receives heartbeats of its
// failure domain and of owners, and would take a shard of another domain for
// vacant if the new owner didn't send to it.
constexpr std::int64_t long_unresponsive_micros = 15'000'000;
constexpr std::int64_t unresponsive_heartbeat_micros = 3'000'000;

// Interval between two hosts of a failure domain that own nothing: decision
// 0010.
constexpr std::int64_t idle_heartbeat_micros = 10'000'000;

// Missed heartbeats of owners after which a host that receives no others sends
// to its failure domain. Few enough that the replies arrive before owners are
// suspected.
constexpr std::int64_t missed_heartbeats = 2;

} // namespace

// 1. Rows of the store

namespace
{

// Marks the predecessor of shards as stopped when its host runs a new process,
// since the old one no longer renews leases. A shard without a reachable target
// has no other way to find out.
void note_incarnation(node& context, host_id const& id,
                      std::uint64_t incarnation)
{
    for (owned_row& own : context.owned_)
    {
        if (own.predecessor_ != id || own.predecessor_stopped_ ||
            own.predecessor_incarnation_ >= incarnation)
        {
            continue;
        }
        own.predecessor_stopped_ = true;
        note_predecessor_stopped(context, own);
    }
}

void apply_host_row(node& context, stored_row const& row)
{
    host_id const id(row.key_.key_.substr(std::string(host_prefix).size()));
    if (row.revision_ == 0)
    {
        context.hosts_.remove(id);
        return;
    }
    host_record const record = read_host(row.value_);
    bool const        is_new = !context.hosts_.contains(id);
    host_row&         host = context.hosts_.ensure(id);
    if (is_new || host.incarnation_ != record.incarnation_)
    {
        host.listed_at_ = context.now_;
        host.stopping_ = false;
    }
    host.address_ = record.address_;
    host.domain_ = record.domain_;
    host.cpu_share_ = record.cpu_share_;
    host.incarnation_ = std::max(host.incarnation_, record.incarnation_);
    note_incarnation(context, id, host.incarnation_);
}

void apply_shard_row(node& context, stored_row const& row)
{
    shard_id const id =
        read_shard_name(row.key_.key_.substr(std::string(shard_prefix).size()));
    shard_row* const shard = ensure_shard(context, id);
    std::uint32_t    part = 0;
    std::from_chars(row.key_.part_.data(),
                    row.key_.part_.data() + row.key_.part_.size(), part);
    if (shard == nullptr || part >= shard->revisions_.size() ||
        row.revision_ <= shard->revisions_[part])
    {
        return;
    }
    owner_record const record = read_owner(row.value_);
    shard->revisions_[part] = row.revision_;
    shard->epochs_[part] = record.epoch_;
    owned_row const* const own = context.owned_.find(id);
    bool const             mine = record.host_ == context.settings_.host_ &&
                      record.incarnation_ == context.settings_.incarnation_;
    if (own != nullptr && record.epoch_ >= own->epoch_ && !mine)
    {
        drop_shard(context, id, "another host took it over");
    }
    if (part != 0 || record.epoch_ < shard->epoch_)
    {
        return;
    }
    if (shard->epoch_ != record.epoch_)
    {
        shard->confirmed_at_ = context.now_;
        shard->suspected_at_ = instant::never();
        shard->serving_ = false;
        log_event(context, "owner_changed",
                  {{"shard", write_shard_name(id)},
                   {"owner", record.host_.str()},
                   {"epoch", std::to_string(record.epoch_)}});
    }
    shard->owner_ = record.host_;
    shard->owner_incarnation_ = record.incarnation_;
    shard->address_ = record.address_;
    shard->epoch_ = record.epoch_;
    shard->released_ = record.released_;
    shard->exclusive_ = record.exclusive_;
    shard->stops_over_ = record.stops_over_;
    shard->successor_ = record.successor_;
}

} // namespace

void apply(node& context, member_row_changed const& input)
{
    try
    {
        if (input.row_.key_.key_.starts_with(host_prefix))
        {
            apply_host_row(context, input.row_);
        }
        else if (input.row_.key_.key_.starts_with(layout_prefix) &&
                 input.row_.revision_ != 0)
        {
            apply_layout_row(context, input.row_);
        }
        else if (input.row_.key_.key_.starts_with(shard_prefix) &&
                 input.row_.revision_ != 0)
        {
            apply_shard_row(context, input.row_);
        }
        else if (input.row_.key_.key_.starts_with(allotment_prefix) &&
                 input.row_.revision_ != 0)
        {
            apply_allotment_row(context, input.row_);
        }
    }
    catch (record_error const& error)
    {
        log_event(context, "row_unreadable",
                  {{"key", input.row_.key_.key_}, {"error", error.what()}});
    }
}

void apply(node& context, list_complete const& input)
{
    bool& known = input.list_ == member_list::members ? context.members_known_
                                                      : context.targets_known_;
    known = true;
}

// 2. Heartbeats

namespace
{

plan::load_summary summarize_load(node const& context, shard_id const& shard,
                                  owned_row const& own)
{
    if (!own.planner_)
    {
        return {};
    }
    plan::load_summary load = plan::summarize_load(*own.planner_);
    if (context.settings_.route_by_wait_)
    {
        load.freed_a_second_ = plan::sum_freed(*own.planner_);
    }
    for (plan::organisation_load& entry : load.organisations_)
    {
        entry.part_ = static_cast<std::uint32_t>(
            find_part(context, shard, entry.organisation_));
    }
    return load;
}

} // namespace

heartbeat make_heartbeat(node const& context)
{
    heartbeat beat{.host_ = context.settings_.host_,
                   .incarnation_ = context.settings_.incarnation_,
                   .store_ok_ = context.store_ok_,
                   .stopping_ = context.stopping_,
                   .config_version_ = config_version(context)};
    if (context.settings_.advice_pool_)
    {
        beat.advice_wait_micros_ = find_advice_backlog(context);
    }
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        owned_row const& own = context.owned_[row];
        if (own.phase_ == owned_phase::claiming)
        {
            continue;
        }
        beat.shards_.push_back(
            {.shard_ = context.owned_.key(row),
             .epoch_ = own.epoch_,
             .serving_ = own.phase_ == owned_phase::serving && !own.releasing_,
             .load_ = summarize_load(context, context.owned_.key(row), own),
             .wanted_requests_ = own.wanted_requests_});
    }
    return beat;
}

namespace
{

void apply_shard_load(node& context, heartbeat const& beat,
                      shard_load const& reported)
{
    shard_row* const shard = ensure_shard(context, reported.shard_);
    if (shard == nullptr || reported.epoch_ < shard->epoch_)
    {
        return;
    }
    shard->owner_ = beat.host_;
    shard->owner_incarnation_ = beat.incarnation_;
    if (host_row const* const host = context.hosts_.find(beat.host_))
    {
        shard->address_ = host->address_;
    }
    if (reported.epoch_ > shard->epoch_)
    {
        shard->released_ = false;
    }
    shard->epoch_ = reported.epoch_;
    shard->confirmed_at_ = context.now_;
    shard->suspected_at_ = instant::never();
    shard->serving_ = reported.serving_;
    shard->load_ = reported.load_;
    std::erase_if(context.sent_work_,
                  [&](sent_work const& sent)
                  {
                      return sent.shard_ == reported.shard_ &&
                             sent.reported_from_ <= context.now_;
                  });
    shard->wanted_requests_ = reported.wanted_requests_;
}

} // namespace

namespace
{

void apply_limits(node& context)
{
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        set_configuration(context, context.owned_.key(row));
    }
    context.find_excess_at_ = context.now_; // a limit may have been lowered
}

} // namespace

void apply(node& context, heartbeat_received const& input)
{
    heartbeat const& beat = input.beat_;
    if (host_row* const host = context.hosts_.find(beat.host_))
    {
        if (beat.incarnation_ < host->incarnation_)
        {
            return; // from an earlier process of the host
        }
        host->incarnation_ = beat.incarnation_;
        note_incarnation(context, beat.host_, beat.incarnation_);
        host->heard_at_ = context.now_;
        host->heard_ = true;
        host->store_ok_ = beat.store_ok_;
        host->stopping_ = beat.stopping_;
        host->config_version_ = beat.config_version_;
        // Hosts of the same failure domain that own nothing send heartbeats
        // only as replies and at the idle interval.
        bool const is_frequent =
            !beat.shards_.empty() || host->domain_ != context.settings_.domain_;
        host->contact_due_ =
            is_frequent ? context.now_.after(context.settings_.suspect_micros_)
                        : instant::never();
        host->next_heartbeat_at_ = context.now_.after(idle_heartbeat_micros);
        if (context.settings_.advice_pool_)
        {
            advice_proxy_row& proxy = context.askers_.ensure(beat.host_);
            proxy.wait_reported_ = beat.advice_wait_micros_.has_value();
            proxy.shared_busy_until_ =
                context.now_.after(beat.advice_wait_micros_.value_or(0));
        }
    }
    if (note_reported_limits(context, beat))
    {
        log_event(context, "limits_reported",
                  {{"host", beat.host_.str()},
                   {"version", std::to_string(beat.config_version_)}});
        apply_limits(context);
    }
    for (shard_load const& reported : beat.shards_)
    {
        owned_row const* const own = context.owned_.find(reported.shard_);
        if (own != nullptr && beat.host_ != context.settings_.host_ &&
            reported.epoch_ > own->epoch_)
        {
            // Without the store this is the first sign of a takeover.
            drop_shard(context, reported.shard_,
                       "another host reports a higher epoch");
        }
        if (!context.owned_.contains(reported.shard_))
        {
            apply_shard_load(context, beat, reported);
            apply_run_times(context, reported);
        }
    }
}

namespace
{

void announce_host(node& context)
{
    if (context.announced_ || context.announce_at_ > context.now_)
    {
        wake_at(context,
                context.announced_ ? instant::never() : context.announce_at_);
        return;
    }
    std::uint64_t const request = next_request(context);
    context.requests_.ensure(request) = {.kind_ = request_kind::announce,
                                         .sent_ = context.now_};
    context.outbox_.push_back(store_transact{
        .request_ = request,
        .writes_ =
            {{{"member", "", host_prefix + context.settings_.host_.str()},
              write_host({context.settings_.address_, context.settings_.domain_,
                          context.settings_.cpu_share_,
                          context.settings_.incarnation_})}},
        .deadline_ = store_deadline(context)});
    context.announce_at_ =
        store_deadline(context).after(context.settings_.store_retry_micros_);
    wake_at(context, context.announce_at_);
}

// While the store counts as lost there are no other calls that would detect its
// recovery.
void probe_store(node& context)
{
    if (context.store_ok_)
    {
        return;
    }
    for (request_row const& request : context.requests_)
    {
        if (request.kind_ == request_kind::locate && request.call_ == 0)
        {
            return;
        }
    }
    std::uint64_t const request = next_request(context);
    context.requests_.ensure(request) = {.kind_ = request_kind::locate,
                                         .sent_ = context.now_};
    context.outbox_.push_back(
        store_read{.request_ = request,
                   .table_ = "member",
                   .from_ = host_prefix + context.settings_.host_.str(),
                   .to_ = host_prefix + context.settings_.host_.str() + "!",
                   .deadline_ = store_deadline(context)});
}

bool has_no_contact(node const& context)
{
    std::int64_t const bound =
        missed_heartbeats * context.settings_.heartbeat_micros_;
    return std::none_of(context.hosts_.begin(), context.hosts_.end(),
                        [&context, bound](host_row const& host)
                        {
                            return host.heard_ &&
                                   host.heard_at_.after(bound) > context.now_;
                        });
}

// True when an owner has to send a heartbeat to the host: each time, unless the
// host has been unresponsive for long.
bool is_owner_heartbeat_due(node const& context, host_row const& host)
{
    instant const contact = std::max(host.heard_at_, host.listed_at_);
    return contact.remaining_until(context.now_) <= long_unresponsive_micros ||
           host.next_heartbeat_at_ <= context.now_;
}

// The same for a sender that owns nothing.
bool is_idle_heartbeat_due(node const& context, host_row const& host,
                           bool isolated)
{
    return host.domain_ == context.settings_.domain_ &&
           (isolated || host.next_heartbeat_at_ <= context.now_);
}

// True for a host that can't read the present configuration from the store.
bool needs_limits(host_row const& host, heartbeat const& beat)
{
    return !host.store_ok_ && host.config_version_ < beat.config_version_;
}

// Owners send to all hosts, and the replies show that these are alive. Hosts
// that own nothing send to their failure domain only, and at the idle interval
// while they receive other heartbeats. So the number of messages grows with
// hosts times owners, not with the square of the hosts.
void send_heartbeats(node& context)
{
    if (context.heartbeat_at_ > context.now_)
    {
        wake_at(context, context.heartbeat_at_);
        return;
    }
    context.heartbeat_at_ =
        context.now_.after(context.settings_.heartbeat_micros_);
    wake_at(context, context.heartbeat_at_);
    probe_store(context);
    heartbeat const beat = make_heartbeat(context);
    for (shard_load const& own : beat.shards_)
    {
        apply_shard_load(context, beat, own);
    }
    heartbeat beat_with_limits = beat;
    beat_with_limits.limits_ = list_configured_limits(context);
    // Only owners estimate run times, so no others receive them.
    heartbeat beat_to_owners = beat;
    attach_run_times(context, beat_to_owners);
    bool const    owner = !beat.shards_.empty();
    bool const    isolated = has_no_contact(context);
    instant const deadline =
        context.now_.after(context.settings_.suspect_micros_);
    for (std::size_t row = 0; row < context.hosts_.size(); ++row)
    {
        host_row&  host = context.hosts_[row];
        bool const due = owner ? is_owner_heartbeat_due(context, host)
                               : is_idle_heartbeat_due(context, host, isolated);
        if (due && context.hosts_.key(row) != context.settings_.host_)
        {
            host.next_heartbeat_at_ = context.now_.after(
                owner ? unresponsive_heartbeat_micros : idle_heartbeat_micros);
            host.contact_due_ = std::min(host.contact_due_, deadline);
            context.outbox_.push_back(send_heartbeat{
                host.address_,
                needs_limits(host, beat) ? beat_with_limits
                : count_owned(context, context.hosts_.key(row)) > 0
                    ? beat_to_owners
                    : beat,
                deadline});
        }
    }
}

// True when this host may soon claim the shard.
bool may_become_vacant(node const& context, shard_row const& shard)
{
    return shard.epoch_ == 0 || shard.released_ ||
           shard.owner_ == context.settings_.host_ ||
           shard.confirmed_at_.after(missed_heartbeats *
                                     context.settings_.heartbeat_micros_) <=
               context.now_;
}

// A target that is missing from the list of a new owner may run work of the
// shard, so a list that wasn't kept up to date is read again before a claim.
void update_targets_needed(node& context)
{
    context.targets_needed_ =
        !context.owned_.empty() ||
        !std::all_of(context.settings_.domains_.begin(),
                     context.settings_.domains_.end(),
                     [&context](domain_id const& domain)
                     {
                         return has_layout(context, domain);
                     }) ||
        std::any_of(context.shards_.begin(), context.shards_.end(),
                    [&context](shard_row const& shard)
                    {
                        return may_become_vacant(context, shard);
                    });
    context.targets_known_ = context.targets_known_ && context.targets_needed_;
}

} // namespace

void follow_members(node& context)
{
    announce_host(context);
    send_heartbeats(context);
    update_targets_needed(context);
}

bool needs_targets(node const& context)
{
    return context.targets_needed_;
}

// 3. Store

void update_store_health(node& context, store_reply const& reply, instant sent)
{
    bool const replied = reply.outcome_ == store_outcome::done ||
                         reply.outcome_ == store_outcome::conflict;
    settings const& values = context.settings_;
    if (replied)
    {
        // Deadlines follow the latency: a lost reply is detected early, and a
        // slow store still gets enough time.
        constexpr std::int64_t latency_factor = 5;
        std::int64_t const     deadline =
            std::clamp(sent.remaining_until(context.now_) * latency_factor,
                       values.store_min_micros_, values.store_max_micros_);
        context.store_micros_ = std::max(
            deadline, context.store_micros_ - values.store_min_micros_);
        context.store_replied_at_ = context.now_;
    }
    else if (reply.outcome_ == store_outcome::unknown)
    {
        context.store_micros_ =
            std::min(values.store_max_micros_, 2 * context.store_micros_);
    }
    // A store that becomes slow misses the first deadlines and then replies
    // within the longer ones. So it counts as lost, and work is rejected, only
    // when it refuses calls or hasn't replied for `store_unresponsive_micros_`.
    bool const within_grace =
        reply.outcome_ == store_outcome::unknown &&
        context.store_replied_at_.after(values.store_unresponsive_micros_) >
            context.now_;
    if (context.store_ok_ != replied && !within_grace)
    {
        context.store_ok_ = replied;
        context.store_lost_at_ = context.now_;
        log_event(context, replied ? "store_regained" : "store_lost",
                  {{"error", reply.error_}});
    }
}

void apply(node& context, store_reply const& input)
{
    request_row const* const found = context.requests_.find(input.request_);
    if (found == nullptr)
    {
        return;
    }
    request_row const request = *found;
    context.requests_.remove(input.request_);
    update_store_health(context, input, request.sent_);
    switch (request.kind_)
    {
    case request_kind::announce:
        context.announced_ = input.outcome_ == store_outcome::done;
        break;
    case request_kind::claim:
    case request_kind::fence:
    case request_kind::release:
        end_claim(context, request, input);
        break;
    case request_kind::load:
        end_load(context, request, input);
        break;
    case request_kind::journal:
        end_journal(context, request, input);
        break;
    case request_kind::locate:
        end_locate(context, request, input);
        break;
    case request_kind::layout:
        end_layout(context, request, input);
        break;
    case request_kind::allotment:
        end_load_allotments(context, request, input);
        break;
    case request_kind::lend:
        end_part_transfer(context, request, input);
        break;
    case request_kind::load_grants:
        end_load_grants(context, request, input);
        break;
    case request_kind::record_grant:
        end_record_grant(context, request, input);
        break;
    case request_kind::load_run_times:
        end_load_run_times(context, request, input);
        break;
    case request_kind::store_run_times:
        end_store_run_times(context, request, input);
        break;
    case request_kind::abandoned:
        break;
    }
}

// 4. Configuration

void apply(node& context, config_changed const& input)
{
    if (context.config_ && input.config_->version_ <= context.config_->version_)
    {
        return; // versions only increase
    }
    context.config_ = input.config_;
    log_event(context, "config_in_force",
              {{"version", std::to_string(input.config_->version_)}});
    update_limits(context);
    apply_limits(context);
}

void apply(node& context, domain_withdrawn const& input)
{
    bool const changed = input.out_ ? context.out_.insert(input.domain_).second
                                    : context.out_.erase(input.domain_) > 0;
    if (!changed)
    {
        return;
    }
    log_event(context, input.out_ ? "domain_out" : "domain_back",
              {{"domain", input.domain_.str()}});
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        owned_row& own = context.owned_[row];
        if (own.planner_ && context.owned_.key(row).domain_ == input.domain_)
        {
            plan::post_event(*own.planner_,
                             plan::domain_service_changed{!input.out_});
            own.plan_needed_ = true;
        }
    }
}

} // namespace fescuevane::cell
