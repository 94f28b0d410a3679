// Purpose: codec of peer.proto.
#include "wire/peer_codec.hpp"

#include "core/names.hpp"
#include "wire/decode_error.hpp"
#include "wire/fields.hpp"

#include <peer.pb.h>

namespace fescuevane::wire
{

using namespace detail;

// Enumerators are converted by value.
static_assert(v1::UNKNOWN == static_cast<int>(job_state::unknown));

void encode_job_result(job_result const& value, v1::JobResult& message)
{
    message.set_team(value.key_.team_.str());
    message.set_job(value.key_.job_.str());
    message.set_state(static_cast<v1::JobState>(value.state_));
    message.set_outcome(static_cast<v1::Outcome>(value.outcome_));
    message.set_attempt(value.attempt_);
    message.set_body(encode_bytes(value.body_));
    message.set_reason(value.reason_);
    message.set_retry_after_micros(value.retry_after_micros_);
    message.set_target(value.target_.str());
    message.set_owner(value.owner_.str());
}

job_result decode_job_result(v1::JobResult const& message)
{
    check_enumerator(v1::JobState_IsValid(message.state()), "result.state");
    check_enumerator(v1::Outcome_IsValid(message.outcome()), "result.outcome");
    check_range(message.attempt(), 0, max_task_count, "result.attempt");
    check_text(message.reason(), "result.reason", max_text_bytes);
    check_range(message.retry_after_micros(), 0, max_span_micros,
                "result.retry_after_micros");
    return {
        .key_ = {decode_id<team_id>(message.team(), "result.team"),
                 decode_id<job_id>(message.job(), "result.job")},
        .state_ = static_cast<job_state>(message.state()),
        .outcome_ = static_cast<outcome>(message.outcome()),
        .attempt_ = message.attempt(),
        .body_ = decode_bytes(message.body(), "result.body"),
        .reason_ = message.reason(),
        .retry_after_micros_ = message.retry_after_micros(),
        .target_ =
            decode_optional_id<target_id>(message.target(), "result.target"),
        .owner_ = decode_optional_id<host_id>(message.owner(), "result.owner")};
}

shard_id decode_shard(std::string const& text, char const* field)
{
    check_id(text, field);
    auto const shard = parse_shard_id(text);
    if (!shard)
    {
        throw decode_error(field, "a shard is <domain>.<index>");
    }
    return *shard;
}

job_key decode_job_key(v1::Lookup const& message)
{
    return {decode_id<team_id>(message.team(), "lookup.team"),
            decode_id<job_id>(message.job(), "lookup.job")};
}

std::vector<job_key> decode_job_keys(v1::Cancel const& message)
{
    auto const team = decode_id<team_id>(message.team(), "cancel.team");
    std::vector<job_key> keys;
    keys.reserve(static_cast<std::size_t>(message.jobs_size()));
    for (std::string const& job : message.jobs())
    {
        keys.push_back({team, decode_id<job_id>(job, "cancel.jobs")});
    }
    return keys;
}

} // namespace fescuevane::wire
