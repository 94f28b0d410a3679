// Purpose: codec of platform.proto. Decoding throws `decode_error`.
#ifndef FESCUEVANE_WIRE_PLATFORM_CODEC_HPP
#define FESCUEVANE_WIRE_PLATFORM_CODEC_HPP

#include "state/commit_ended.hpp"
#include "state/commit_rows.hpp"
#include "state/read_rows.hpp"
#include "state/rows_read.hpp"

#include <cstdint>

namespace platform::v1
{
class CommitReply;
class CommitRequest;
class ReadReply;
class ReadRequest;
} // namespace platform::v1

namespace fescuevane::wire
{

// At the entry process. `request` is the number of the command.
void             encode_read(state::read_rows const&    value,
                             platform::v1::ReadRequest& message);
void             encode_commit(state::commit_rows const&    value,
                               platform::v1::CommitRequest& message);
state::rows_read decode_read_reply(platform::v1::ReadReply const& message,
                                   std::uint64_t                  request);
state::commit_ended
decode_commit_reply(platform::v1::CommitReply const& message,
                    std::uint64_t                    request);

// At the platform
state::read_rows   decode_read(platform::v1::ReadRequest const& message);
state::commit_rows decode_commit(platform::v1::CommitRequest const& message);
void               encode_read_reply(state::rows_read const&  value,
                                     platform::v1::ReadReply& message);
void               encode_commit_reply(state::commit_ended const& value,
                                       platform::v1::CommitReply& message);

} // namespace fescuevane::wire

#endif
