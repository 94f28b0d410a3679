// Purpose: codec of the batches between owners and targets.
#include "tests/stand_ins/batch_codec.hpp"

#include "tests/stand_ins/host.hpp"
#include "tests/stand_ins/owner_batch.hpp"
#include "tests/stand_ins/target_report.hpp"
#include "wire/wire.hpp"

#include <target.pb.h>

#include <variant>

namespace fescuevane::stand_ins
{
namespace
{

void check_header(v1::OwnerBatch const& message)
{
    if (message.epoch() == 0)
    {
        throw wire::decode_error("epoch", "an epoch is at least 1");
    }
    if (message.lease_micros() <= 0 ||
        message.lease_micros() > wire::max_span_micros)
    {
        throw wire::decode_error("lease_micros", "out of range");
    }
    if (message.echo_micros() < 0)
    {
        throw wire::decode_error("echo_micros", "out of range");
    }
}

std::vector<decide::start_task> decode_starts(v1::OwnerBatch const& message,
                                              target_id const&      target,
                                              instant               now)
{
    std::vector<decide::start_task> starts;
    for (v1::StartTask const& each : message.starts())
    {
        starts.push_back(wire::decode_start_task(each, target, now));
    }
    return starts;
}

std::vector<decide::stop_task> decode_stops(v1::OwnerBatch const& message,
                                            target_id const&      target)
{
    std::vector<decide::stop_task> stops;
    for (v1::StopTask const& each : message.stops())
    {
        stops.push_back(wire::decode_stop_task(each, target));
    }
    return stops;
}

std::vector<decide::throttle_task>
decode_throttles(v1::OwnerBatch const& message, target_id const& target)
{
    std::vector<decide::throttle_task> throttles;
    for (v1::ThrottleTask const& each : message.throttles())
    {
        throttles.push_back(wire::decode_throttle_task(each, target));
    }
    return throttles;
}

std::vector<task_key> decode_acknowledged(v1::OwnerBatch const& message)
{
    std::vector<task_key> keys;
    for (v1::TaskKey const& each : message.acknowledged_ends())
    {
        keys.push_back(wire::decode_task_key(each));
    }
    return keys;
}

} // namespace

owner_batch decode_batch(v1::OwnerBatch const& message, host const& target,
                         std::uint64_t stream, instant now)
{
    check_header(message);
    return {.stream_ = stream,
            .epoch_ = message.epoch(),
            .attachment_ = message.attachment(),
            .echo_ = instant(message.echo_micros()),
            .lease_micros_ = message.lease_micros(),
            .starts_ = decode_starts(message, target.target_, now),
            .stops_ = decode_stops(message, target.target_),
            .throttles_ = decode_throttles(message, target.target_),
            .acknowledged_ends_ = decode_acknowledged(message),
            .shard_ = message.shard()};
}

void encode_report(target_report const& value, host const& target, instant now,
                   v1::TargetBatch& message)
{
    message.set_target(target.target_.str());
    message.set_incarnation(value.incarnation_);
    message.set_epoch(value.epoch_);
    message.set_fenced(value.fenced_);
    message.set_snapshot(value.snapshot_);
    message.set_leaving(value.leaving_);
    message.set_clock_micros(now.micros());
    for (status_entry const& entry : value.tasks_)
    {
        v1::TaskStatus& status = *message.add_tasks();
        std::visit(
            [&status](auto const& event)
            {
                wire::encode_status(event, status);
            },
            entry.event_);
        if (entry.start_)
        {
            wire::add_recovery({*entry.start_->spec_, entry.start_->task_,
                                target.target_, entry.start_->reservation_},
                               now,
                               entry.omits_payload_
                                   ? wire::payload_mode::omit
                                   : wire::payload_mode::include,
                               status);
        }
    }
}

} // namespace fescuevane::stand_ins
