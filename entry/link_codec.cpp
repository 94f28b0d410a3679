// Purpose: codec between the node's messages and the batches on its links.
//
// Index of sections
//   1. Peers, encoding
//   2. Peers, decoding
//   3. Targets
//   4. Hosts
#include "entry/link_codec.hpp"

#include "core/core.hpp"
#include "entry/hosts_listed.hpp"
#include "entry/settings_address.hpp"
#include "peer.pb.h"
#include "platform.pb.h"
#include "wire/wire.hpp"

namespace fescuevane::entry
{
namespace
{

// 1. Peers, encoding

void append(heartbeat const& message, instant /*now*/, v1::PeerBatch& batch)
{
    v1::Heartbeat& beat = *batch.mutable_heartbeat();
    beat.Clear(); // only the latest counts
    beat.set_committed_ticket(message.committed_);
    beat.set_accepted_ticket(message.accepted_);
    beat.set_leaving(message.leaving_);
    for (shard_report const& report : message.shards_)
    {
        v1::ShardEpoch& shard = *beat.add_shards();
        shard.set_shard(format_key(report.shard_));
        shard.set_epoch(report.epoch_);
        shard.set_ready(report.ready_);
        shard.set_queued_tasks(report.queued_tasks_);
        shard.set_free_slots(report.free_slots_);
    }
}

void append(submit_passed const& message, instant now, v1::PeerBatch& batch)
{
    v1::Submit& submit = *batch.add_submits();
    submit.set_call(message.call_);
    submit.set_shard(format_key(message.shard_));
    submit.set_epoch(message.epoch_);
    submit.set_may_be_known(message.may_be_known_);
    wire::encode_job_spec(message.spec_, now, wire::payload_mode::include,
                          *submit.mutable_spec());
}

void append(lookup_passed const& message, instant /*now*/, v1::PeerBatch& batch)
{
    v1::Lookup& lookup = *batch.add_lookups();
    lookup.set_call(message.call_);
    lookup.set_shard(format_key(message.shard_));
    lookup.set_team(message.job_.team_.str());
    lookup.set_job(message.job_.job_.str());
}

void append(cancel_passed const& message, instant /*now*/, v1::PeerBatch& batch)
{
    v1::Cancel& cancel = *batch.add_cancels();
    cancel.set_shard(format_key(message.shard_));
    cancel.set_team(message.team_.str());
    for (job_id const& job : message.jobs_)
    {
        cancel.add_jobs(job.str());
    }
}

void append(answer_passed const& message, instant /*now*/, v1::PeerBatch& batch)
{
    v1::Answer& answer = *batch.add_answers();
    answer.set_call(message.call_);
    answer.set_kind(static_cast<v1::AnswerKind>(message.kind_));
    answer.set_shard(format_key(message.shard_));
    if (!message.moved_to_.domain_.empty())
    {
        answer.set_moved_to(format_key(message.moved_to_));
    }
    wire::encode_job_result(message.result_, *answer.mutable_result());
}

void append(snapshot_wanted const& /*message*/, instant /*now*/,
            v1::PeerBatch& batch)
{
    batch.set_wants_snapshot(true);
}

void append(snapshot_passed const& message, instant /*now*/,
            v1::PeerBatch&         batch)
{
    batch.mutable_snapshot()->set_state(message.snapshot_);
}

// 2. Peers, decoding

heartbeat decode_heartbeat(v1::Heartbeat const& beat)
{
    std::vector<shard_report> shards;
    for (v1::ShardEpoch const& shard : beat.shards())
    {
        shards.push_back({.shard_ = wire::decode_shard(shard.shard(), "shard"),
                          .epoch_ = shard.epoch(),
                          .ready_ = shard.ready(),
                          .queued_tasks_ = shard.queued_tasks(),
                          .free_slots_ = shard.free_slots()});
    }
    return {.committed_ = beat.committed_ticket(),
            .accepted_ = beat.accepted_ticket(),
            .shards_ = std::move(shards),
            .leaving_ = beat.leaving()};
}

cancel_passed decode_cancel(v1::Cancel const& cancel)
{
    std::vector<job_id> jobs;
    for (job_key const& job : wire::decode_job_keys(cancel))
    {
        jobs.push_back(job.job_);
    }
    return {.shard_ = wire::decode_shard(cancel.shard(), "shard"),
            .team_ = team_id(cancel.team()),
            .jobs_ = std::move(jobs)};
}

answer_passed decode_answer(v1::Answer const& answer)
{
    if (!v1::AnswerKind_IsValid(answer.kind()))
    {
        throw wire::decode_error("kind", "unknown kind of answer");
    }
    return {.call_ = answer.call(),
            .kind_ = static_cast<answer_kind>(answer.kind()),
            .shard_ = wire::decode_shard(answer.shard(), "shard"),
            .moved_to_ =
                answer.moved_to().empty()
                    ? shard_id()
                    : wire::decode_shard(answer.moved_to(), "moved_to"),
            .result_ = wire::decode_job_result(answer.result())};
}

} // namespace

void append_message(peer_message const& message, instant now,
                    v1::PeerBatch& batch)
{
    std::visit(
        [&](auto const& value)
        {
            append(value, now, batch);
        },
        message);
}

std::vector<peer_message> decode_messages(v1::PeerBatch const& batch,
                                          instant              now)
{
    std::vector<peer_message> found;
    if (batch.has_heartbeat())
    {
        found.emplace_back(decode_heartbeat(batch.heartbeat()));
    }
    for (v1::Submit const& submit : batch.submits())
    {
        found.emplace_back(submit_passed{
            submit.call(), wire::decode_shard(submit.shard(), "shard"),
            submit.epoch(), wire::decode_job_spec(submit.spec(), now),
            submit.may_be_known()});
    }
    for (v1::Lookup const& lookup : batch.lookups())
    {
        found.emplace_back(lookup_passed{
            lookup.call(), wire::decode_shard(lookup.shard(), "shard"),
            wire::decode_job_key(lookup)});
    }
    for (v1::Cancel const& cancel : batch.cancels())
    {
        found.emplace_back(decode_cancel(cancel));
    }
    for (v1::Answer const& answer : batch.answers())
    {
        found.emplace_back(decode_answer(answer));
    }
    if (batch.wants_snapshot())
    {
        found.emplace_back(snapshot_wanted{});
    }
    if (batch.has_snapshot())
    {
        found.emplace_back(snapshot_passed{batch.snapshot().state()});
    }
    return found;
}

// 3. Targets

namespace
{

void append(decide::start_task const& order, instant now, v1::OwnerBatch& batch)
{
    wire::append_command(order, now, batch);
}

void append(decide::stop_task const& order, instant /*now*/,
            v1::OwnerBatch&          batch)
{
    wire::append_command(order, batch);
}

void append(decide::throttle_task const& order, instant /*now*/,
            v1::OwnerBatch&              batch)
{
    wire::append_command(order, batch);
}

// Not an order to a target.
void append(decide::job_changed const& /*order*/, instant /*now*/,
            v1::OwnerBatch& /*batch*/)
{
}

} // namespace

void encode_orders(send_target const& orders, instant now,
                   v1::OwnerBatch& batch)
{
    batch.set_lease_micros(orders.lease_micros_);
    batch.set_echo_micros(orders.echo_micros_);
    for (decide::command const& order : orders.orders_)
    {
        std::visit(
            [&](auto const& value)
            {
                append(value, now, batch);
            },
            order);
    }
    for (task_key const& task : orders.acknowledged_ends_)
    {
        wire::encode_task_key(task, *batch.add_acknowledged_ends());
    }
}

// 4. Hosts

namespace
{

// As amounts of tasks; sums over all targets have to stay within 64 bits.
constexpr std::int64_t  max_capacity = std::int64_t{1} << 40;
constexpr std::uint32_t max_slots = 1'000'000;

bool is_amount(std::int64_t value)
{
    return value >= 0 && value <= max_capacity;
}

bool is_sound(platform::v1::Host const& host)
{
    auto const address = split_address(host.address());
    return !host.target().empty() && !host.failure_domain().empty() &&
           address && address->second != 0 && is_amount(host.cpu_millis()) &&
           is_amount(host.memory_mib()) && is_amount(host.accelerators()) &&
           host.slots() <= max_slots;
}

} // namespace

hosts_listed decode_hosts(platform::v1::ListReply const& reply)
{
    std::vector<listed_host> hosts;
    for (platform::v1::Host const& host : reply.hosts())
    {
        if (!is_sound(host))
        {
            continue;
        }
        hosts.push_back(
            {.target_ = target_id(host.target()),
             .domain_ = domain_id(host.failure_domain()),
             .rack_ = rack_id(host.rack()),
             .address_ = host.address(),
             .leaving_ = host.state() == platform::v1::HOST_LEAVING,
             .capacity_ = resources(host.cpu_millis(), host.memory_mib(),
                                    host.accelerators()),
             .slots_ = host.slots()});
    }
    return {std::move(hosts)};
}

} // namespace fescuevane::entry
