// Purpose: codec of target.proto.
//
// Index of sections
//   1. Values
//   2. Commands
//   3. Events
#include "wire/target_codec.hpp"

#include "core/job_spec.hpp"
#include "core/resources.hpp"
#include "core/task_key.hpp"
#include "wire/decode_error.hpp"
#include "wire/fields.hpp"

#include <target.pb.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace fescuevane::wire
{

using namespace detail;

// Enumerators are converted by value.
static_assert(v1::GANG == static_cast<int>(work_kind::gang));
static_assert(v1::CANCELED == static_cast<int>(outcome::canceled));

// 1. Values

void encode_resources(resources const& value, v1::Resources& message)
{
    message.set_cpu_millis(value.cpu_millis());
    message.set_memory_mib(value.memory_mib());
    message.set_accelerators(value.accelerators());
}

resources decode_resources(v1::Resources const& message, char const* field)
{
    check_range(message.cpu_millis(), 0, max_amount,
                join_field(field, "cpu_millis"));
    check_range(message.memory_mib(), 0, max_amount,
                join_field(field, "memory_mib"));
    check_range(message.accelerators(), 0, max_amount,
                join_field(field, "accelerators"));
    return {message.cpu_millis(), message.memory_mib(), message.accelerators()};
}

void encode_task_key(task_key const& value, v1::TaskKey& message)
{
    message.set_team(value.job_.team_.str());
    message.set_job(value.job_.job_.str());
    message.set_index(value.index_);
    message.set_attempt(value.attempt_);
}

task_key decode_task_key(v1::TaskKey const& message)
{
    check_range(message.index(), 0, max_task_count - 1, "task.index");
    check_range(message.attempt(), 1, max_task_count, "task.attempt");
    return {{decode_id<team_id>(message.team(), "task.team"),
             decode_id<job_id>(message.job(), "task.job")},
            message.index(),
            message.attempt()};
}

namespace
{

std::int64_t encode_deadline(instant deadline, instant now)
{
    return deadline == instant::never()
               ? 0
               : std::clamp<std::int64_t>(now.remaining_until(deadline), 1,
                                          max_span_micros);
}

instant decode_deadline(std::int64_t remaining, instant now)
{
    check_range(remaining, 0, max_span_micros, "spec.start_within_micros");
    return remaining == 0 ? instant::never() : now.after(remaining);
}

// A specification of another job would run under the wrong team's key.
void check_task_of_spec(task_key const& task, job_spec const& spec)
{
    if (task.job_ != spec.key_)
    {
        throw decode_error("task", "the specification is of another job");
    }
    check_range(task.index_, 0, std::int64_t{spec.task_count_} - 1,
                "task.index");
}

work_kind decode_kind(v1::WorkKind kind)
{
    check_enumerator(v1::WorkKind_IsValid(kind), "spec.kind");
    return static_cast<work_kind>(kind);
}

} // namespace

void encode_job_spec(job_spec const& value, instant now, payload_mode mode,
                     v1::JobSpec& message)
{
    message.set_team(value.key_.team_.str());
    message.set_job(value.key_.job_.str());
    message.set_service(value.service_.str());
    message.set_kind(static_cast<v1::WorkKind>(value.kind_));
    message.set_task_count(value.task_count_);
    encode_resources(value.demand_, *message.mutable_demand());
    message.set_idempotent(value.idempotent_);
    message.set_start_within_micros(
        encode_deadline(value.start_deadline_, now));
    message.set_declared_run_micros(value.declared_run_micros_);
    if (mode == payload_mode::include)
    {
        message.set_payload(encode_bytes(value.payload_));
    }
    message.set_traceparent(value.traceparent_);
}

job_spec decode_job_spec(v1::JobSpec const& message, instant now)
{
    check_range(message.task_count(), 1, max_task_count, "spec.task_count");
    check_range(message.declared_run_micros(), 0, max_span_micros,
                "spec.declared_run_micros");
    check_text(message.traceparent(), "spec.traceparent", max_text_bytes);
    return {
        .key_ = {decode_id<team_id>(message.team(), "spec.team"),
                 decode_id<job_id>(message.job(), "spec.job")},
        .service_ = decode_id<service_id>(message.service(), "spec.service"),
        .kind_ = decode_kind(message.kind()),
        .task_count_ = message.task_count(),
        .demand_ = decode_resources(message.demand(), "spec.demand"),
        .idempotent_ = message.idempotent(),
        .start_deadline_ = decode_deadline(message.start_within_micros(), now),
        .declared_run_micros_ = message.declared_run_micros(),
        .payload_ = decode_bytes(message.payload(), "spec.payload"),
        .traceparent_ = message.traceparent()};
}

// 2. Commands

void append_command(decide::start_task const& value, instant now,
                    v1::OwnerBatch& batch)
{
    v1::StartTask& message = *batch.add_starts();
    encode_task_key(value.task_, *message.mutable_task());
    encode_job_spec(*value.spec_, now, payload_mode::include,
                    *message.mutable_spec());
    encode_resources(value.reservation_, *message.mutable_reservation());
}

void append_command(decide::stop_task const& value, v1::OwnerBatch& batch)
{
    v1::StopTask& message = *batch.add_stops();
    encode_task_key(value.task_, *message.mutable_task());
    message.set_checkpoint(value.checkpoint_);
}

void append_command(decide::throttle_task const& value, v1::OwnerBatch& batch)
{
    v1::ThrottleTask& message = *batch.add_throttles();
    encode_task_key(value.task_, *message.mutable_task());
    message.set_cpu_millis(value.cpu_millis_);
}

decide::start_task decode_start_task(v1::StartTask const& message,
                                     target_id const& target, instant now)
{
    check_present(message.has_spec(), "spec");
    task_key const task = decode_task_key(message.task());
    auto const     spec =
        std::make_shared<job_spec const>(decode_job_spec(message.spec(), now));
    check_task_of_spec(task, *spec);
    return {.task_ = task,
            .target_ = target,
            .spec_ = spec,
            .reservation_ =
                decode_resources(message.reservation(), "reservation")};
}

decide::stop_task decode_stop_task(v1::StopTask const& message,
                                   target_id const&    target)
{
    return {.task_ = decode_task_key(message.task()),
            .target_ = target,
            .checkpoint_ = message.checkpoint()};
}

decide::throttle_task decode_throttle_task(v1::ThrottleTask const& message,
                                           target_id const&        target)
{
    check_range(message.cpu_millis(), 0, max_amount, "cpu_millis");
    return {.task_ = decode_task_key(message.task()),
            .target_ = target,
            .cpu_millis_ = message.cpu_millis()};
}

// 3. Events

namespace
{

decide::task_recovered decode_recovered(v1::TaskStatus const& message,
                                        task_key const&       task,
                                        target_id const& target, instant now)
{
    job_spec const spec = decode_job_spec(message.spec(), now);
    check_task_of_spec(task, spec);
    return {.spec_ = spec,
            .task_ = task,
            .target_ = target,
            .reservation_ =
                decode_resources(message.reservation(), "reservation")};
}

decide::task_ended decode_ended(v1::TaskStatus const& message,
                                task_key const& task, target_id const& target)
{
    check_enumerator(v1::Outcome_IsValid(message.outcome()), "outcome");
    return {.task_ = task,
            .target_ = target,
            .outcome_ = static_cast<outcome>(message.outcome()),
            .body_ = decode_bytes(message.body(), "body"),
            .reason_ = message.reason(),
            .checkpointed_ = message.checkpointed()};
}

using status_events = std::vector<decide::event>;

void decode_running(v1::TaskStatus const& message, task_key const& task,
                    target_id const& target, status_events& events)
{
    if (!message.has_spec())
    {
        events.emplace_back(decide::task_started{task, target});
    }
    if (message.has_usage())
    {
        events.emplace_back(decide::usage_reported{
            task, decode_resources(message.usage(), "usage")});
    }
}

status_events decode_status(v1::TaskStatus const& message,
                            target_id const& target, instant now)
{
    check_enumerator(v1::TaskState_IsValid(message.state()), "state");
    check_text(message.reason(), "reason", max_text_bytes);
    task_key const task = decode_task_key(message.task());
    status_events  events;
    if (message.state() == v1::TASK_REJECTED)
    {
        events.emplace_back(
            decide::task_rejected{task, target, message.reason()});
        return events;
    }
    if (message.has_spec())
    {
        events.emplace_back(decode_recovered(message, task, target, now));
    }
    if (message.state() == v1::TASK_RUNNING)
    {
        decode_running(message, task, target, events);
    }
    else
    {
        events.emplace_back(decode_ended(message, task, target));
    }
    return events;
}

} // namespace

void append_events(v1::TaskStatus const& message, target_id const& target,
                   instant now, std::vector<decide::event>& output)
{
    for (decide::event& each : decode_status(message, target, now))
    {
        output.push_back(std::move(each));
    }
}

void encode_status(decide::task_started const& value, v1::TaskStatus& message)
{
    encode_task_key(value.task_, *message.mutable_task());
    message.set_state(v1::TASK_RUNNING);
}

void encode_status(decide::task_ended const& value, v1::TaskStatus& message)
{
    encode_task_key(value.task_, *message.mutable_task());
    message.set_state(v1::TASK_ENDED);
    message.set_outcome(static_cast<v1::Outcome>(value.outcome_));
    message.set_body(encode_bytes(value.body_));
    message.set_reason(value.reason_);
    message.set_checkpointed(value.checkpointed_);
}

void encode_status(decide::task_rejected const& value, v1::TaskStatus& message)
{
    encode_task_key(value.task_, *message.mutable_task());
    message.set_state(v1::TASK_REJECTED);
    message.set_reason(value.reason_);
}

void encode_status(decide::usage_reported const& value, v1::TaskStatus& message)
{
    encode_task_key(value.task_, *message.mutable_task());
    message.set_state(v1::TASK_RUNNING);
    encode_resources(value.usage_, *message.mutable_usage());
}

void add_recovery(decide::task_recovered const& value, instant now,
                  payload_mode mode, v1::TaskStatus& message)
{
    encode_job_spec(value.spec_, now, mode, *message.mutable_spec());
    encode_resources(value.reservation_, *message.mutable_reservation());
}

} // namespace fescuevane::wire
