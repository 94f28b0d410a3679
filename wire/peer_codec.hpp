// Purpose: codec of peer.proto. Decoding throws `decode_error`.
#ifndef FESCUEVANE_WIRE_PEER_CODEC_HPP
#define FESCUEVANE_WIRE_PEER_CODEC_HPP

#include "core/job_key.hpp"
#include "core/job_result.hpp"
#include "core/shard_id.hpp"

#include <string>
#include <vector>

namespace fescuevane::v1
{
class Cancel;
class JobResult;
class Lookup;
} // namespace fescuevane::v1

namespace fescuevane::wire
{

void       encode_job_result(job_result const& value, v1::JobResult& message);
job_result decode_job_result(v1::JobResult const& message);

// Shards are sent in the text form of `format_key`.
shard_id decode_shard(std::string const& text, char const* field);

job_key              decode_job_key(v1::Lookup const& message);
std::vector<job_key> decode_job_keys(v1::Cancel const& message);

} // namespace fescuevane::wire

#endif
