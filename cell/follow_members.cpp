// Purpose: system and events: which hosts there are, who owns which shard, and
// whether the store answers.
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

#include <algorithm>
#include <charconv>

namespace fescuevane::cell
{
namespace
{

constexpr char const* host_prefix = "host/";
constexpr char const* shard_prefix = "shard/";
constexpr char const* allotment_prefix = "allotment/";

// Hosts that were silent for this long are told less often. They may be well:
// a host that owns nothing hears only from its failure domain, and counts a
// shard of another one as vacant when its new owner doesn't tell.
constexpr std::int64_t long_unresponsive_micros = 15'000'000;
constexpr std::int64_t unresponsive_heartbeat_micros = 3'000'000;

// Between two hosts of a failure domain that own nothing: decision 0010.
constexpr std::int64_t idle_heartbeat_micros = 10'000'000;

// Heartbeats of owners that are missed before a host that hears nobody else
// sends to its failure domain. Their answers arrive before owners are
// suspected.
constexpr std::int64_t missed_heartbeats = 2;

} // namespace

// 1. Rows of the store

namespace
{

// Tells shards taken over from an earlier process of the host that it doesn't
// renew leases any more. A shard without a target in reach learns it by nothing
// else.
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
        own.exclusive_since_ = std::min(own.exclusive_since_, context.now_);
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
    // In the order of `member_list`.
    bool& known = input.list_ == member_list::members ? context.members_known_
                                                      : context.targets_known_;
    known = true;
}

// 2. Heartbeats

heartbeat make_heartbeat(node const& context)
{
    heartbeat beat{.host_ = context.settings_.host_,
                   .incarnation_ = context.settings_.incarnation_,
                   .store_ok_ = context.store_ok_,
                   .stopping_ = context.stopping_};
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
             .load_ = own.planner_ ? plan::summarize_load(*own.planner_)
                                   : plan::load_summary()});
    }
    return beat;
}

namespace
{

void apply_shard_load(node& context, heartbeat const& beat,
                      shard_load const& told)
{
    shard_row* const shard = ensure_shard(context, told.shard_);
    if (shard == nullptr || told.epoch_ < shard->epoch_)
    {
        return;
    }
    shard->owner_ = beat.host_;
    shard->owner_incarnation_ = beat.incarnation_;
    if (host_row const* const host = context.hosts_.find(beat.host_))
    {
        shard->address_ = host->address_;
    }
    if (told.epoch_ > shard->epoch_)
    {
        shard->released_ = false;
    }
    shard->epoch_ = told.epoch_;
    shard->confirmed_at_ = context.now_;
    shard->suspected_at_ = instant::never();
    shard->serving_ = told.serving_;
    shard->load_ = told.load_;
}

} // namespace

void apply(node& context, heartbeat_received const& input)
{
    heartbeat const& beat = input.beat_;
    if (host_row* const host = context.hosts_.find(beat.host_))
    {
        if (beat.incarnation_ < host->incarnation_)
        {
            return; // of a process that has ended
        }
        host->incarnation_ = beat.incarnation_;
        note_incarnation(context, beat.host_, beat.incarnation_);
        host->heard_at_ = context.now_;
        host->heard_ = true;
        host->store_ok_ = beat.store_ok_;
        host->stopping_ = beat.stopping_;
        // Other hosts of the failure domain are only heard when they are sent
        // a heartbeat, or send one of the rare ones.
        bool const often =
            !beat.shards_.empty() || host->domain_ != context.settings_.domain_;
        host->contact_due_ =
            often ? context.now_.after(context.settings_.suspect_micros_)
                  : instant::never();
        host->next_heartbeat_at_ = context.now_.after(idle_heartbeat_micros);
    }
    for (shard_load const& told : beat.shards_)
    {
        if (!context.owned_.contains(told.shard_))
        {
            apply_shard_load(context, beat, told);
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

// Without other calls nothing would show that the store is back.
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

// True for an owner's heartbeat to the host: often, unless it was silent long.
bool is_owner_heartbeat_due(node const& context, host_row const& host)
{
    instant const word = std::max(host.heard_at_, host.listed_at_);
    return word.remaining_until(context.now_) <= long_unresponsive_micros ||
           host.next_heartbeat_at_ <= context.now_;
}

// The same for a host that owns nothing.
bool is_idle_heartbeat_due(node const& context, host_row const& host,
                           bool alone)
{
    return host.domain_ == context.settings_.domain_ &&
           (alone || host.next_heartbeat_at_ <= context.now_);
}

// Owners send to all hosts, whose answers show that they are well. Hosts that
// own nothing send to their failure domain, seldom while they hear anybody: so
// the number of messages grows with hosts times owners.
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
    bool const    owner = !beat.shards_.empty();
    bool const    alone = has_no_contact(context);
    instant const deadline =
        context.now_.after(context.settings_.suspect_micros_);
    for (std::size_t row = 0; row < context.hosts_.size(); ++row)
    {
        host_row&  host = context.hosts_[row];
        bool const due = owner ? is_owner_heartbeat_due(context, host)
                               : is_idle_heartbeat_due(context, host, alone);
        if (due && context.hosts_.key(row) != context.settings_.host_)
        {
            host.next_heartbeat_at_ = context.now_.after(
                owner ? unresponsive_heartbeat_micros : idle_heartbeat_micros);
            host.contact_due_ = std::min(host.contact_due_, deadline);
            context.outbox_.push_back(
                send_heartbeat{host.address_, beat, deadline});
        }
    }
}

// True when the shard may be claimed by this host soon.
bool may_become_vacant(node const& context, shard_row const& shard)
{
    return shard.epoch_ == 0 || shard.released_ ||
           shard.owner_ == context.settings_.host_ ||
           shard.confirmed_at_.after(missed_heartbeats *
                                     context.settings_.heartbeat_micros_) <=
               context.now_;
}

// Targets that are missing from the list of a new owner may run its work, so
// the list has to be read again before a claim.
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
    bool const answered = reply.outcome_ == store_outcome::done ||
                          reply.outcome_ == store_outcome::conflict;
    settings const& values = context.settings_;
    if (answered)
    {
        // Deadlines follow the latency, so that a lost answer is noticed soon
        // and a slow store is still waited for.
        constexpr std::int64_t latency_factor = 5;
        std::int64_t const     wanted =
            std::clamp(sent.remaining_until(context.now_) * latency_factor,
                       values.store_min_micros_, values.store_max_micros_);
        context.store_micros_ =
            std::max(wanted, context.store_micros_ - values.store_min_micros_);
        context.store_replied_at_ = context.now_;
    }
    else if (reply.outcome_ == store_outcome::unknown)
    {
        context.store_micros_ =
            std::min(values.store_max_micros_, 2 * context.store_micros_);
    }
    // A slow store misses the first deadlines and then answers within longer
    // ones; work is turned away only when it refuses, or is silent for long.
    bool const waits = reply.outcome_ == store_outcome::unknown &&
                       context.store_replied_at_.after(
                           values.store_unresponsive_micros_) > context.now_;
    if (context.store_ok_ != answered && !waits)
    {
        context.store_ok_ = answered;
        context.store_lost_at_ = context.now_;
        log_event(context, answered ? "store_regained" : "store_lost",
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
    case request_kind::abandoned:
        break;
    }
}

// 4. Configuration

void apply(node& context, config_changed const& input)
{
    if (context.config_ && input.config_->version_ <= context.config_->version_)
    {
        return; // versions never go back
    }
    context.config_ = input.config_;
    log_event(context, "config_in_force",
              {{"version", std::to_string(input.config_->version_)}});
    for (std::size_t row = 0; row < context.owned_.size(); ++row)
    {
        set_policies(context, context.owned_.key(row));
    }
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
            plan::post_event(*own.planner_, plan::domain_set{!input.out_});
            own.plan_needed_ = true;
        }
    }
}

} // namespace fescuevane::cell
