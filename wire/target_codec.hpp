// Purpose: codec of target.proto. Decoding throws `decode_error`.
#ifndef FESCUEVANE_WIRE_TARGET_CODEC_HPP
#define FESCUEVANE_WIRE_TARGET_CODEC_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"

#include <vector>

#include "decide/event.hpp"
#include "decide/start_task.hpp"
#include "decide/stop_task.hpp"
#include "decide/throttle_task.hpp"

namespace fescuevane::v1
{
class JobSpec;
class OwnerBatch;
class Resources;
class StartTask;
class StopTask;
class TaskKey;
class TaskStatus;
class ThrottleTask;
} // namespace fescuevane::v1

namespace fescuevane::wire
{

// Whether a specification carries its payload. Large snapshots leave some out.
enum class payload_mode
{
    include,
    omit
};

// Values
void      encode_resources(resources const& value, v1::Resources& message);
resources decode_resources(v1::Resources const& message, char const* field);
void      encode_task_key(task_key const& value, v1::TaskKey& message);
task_key  decode_task_key(v1::TaskKey const& message);

// The deadline is sent as the time that remains at `now`, at least 1 us and at
// most `max_span_micros`; 0 means none.
void     encode_job_spec(job_spec const& value, instant now, payload_mode mode,
                         v1::JobSpec& message);
job_spec decode_job_spec(v1::JobSpec const& message, instant now);

// Commands of a scheduler, to be sent to the target they name
void append_command(decide::start_task const& value, instant now,
                    v1::OwnerBatch& batch);
void append_command(decide::stop_task const& value, v1::OwnerBatch& batch);
void append_command(decide::throttle_task const& value, v1::OwnerBatch& batch);

// The same at the receiving target
decide::start_task    decode_start_task(v1::StartTask const& message,
                                        target_id const& target, instant now);
decide::stop_task     decode_stop_task(v1::StopTask const& message,
                                       target_id const&    target);
decide::throttle_task decode_throttle_task(v1::ThrottleTask const& message,
                                           target_id const&        target);

// Appends the events that a status means to the scheduler. A running task
// gives `task_started` or, with a specification (in snapshots),
// `task_recovered`; then `usage_reported` when usage is set. An end in a
// snapshot gives `task_recovered` and `task_ended`. Appends nothing when the
// status is malformed.
void append_events(v1::TaskStatus const& message, target_id const& target,
                   instant now, std::vector<decide::event>& output);

// Events at the target, to be sent to its owner
void encode_status(decide::task_started const& value, v1::TaskStatus& message);
void encode_status(decide::task_ended const& value, v1::TaskStatus& message);
void encode_status(decide::task_rejected const& value, v1::TaskStatus& message);
void encode_status(decide::usage_reported const& value,
                   v1::TaskStatus&               message);
// Adds specification and reservation to the status of the same task.
void add_recovery(decide::task_recovered const& value, instant now,
                  payload_mode mode, v1::TaskStatus& message);

} // namespace fescuevane::wire

#endif
