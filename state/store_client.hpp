// Purpose: state of the exchange with the platform's tables.
#ifndef FESCUEVANE_STATE_STORE_CLIENT_HPP
#define FESCUEVANE_STATE_STORE_CLIENT_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"

#include <cstdint>
#include <optional>

namespace fescuevane::state
{

struct store_client
{
    std::uint64_t next_request_ = 1;
    std::uint64_t next_commit_ = 1; // number in commit ids
    std::uint64_t random_ = 0;      // state of the jitter
    instant       next_send_;       // of the write budget
    instant       contact_;         // last reply

    // Reads; one is in flight at a time
    std::uint64_t           read_request_ = 0; // in flight; 0: none
    std::optional<shard_id> read_shard_;       // whose journal; none: control
    instant                 read_due_;         // of the next read of changes
    instant                 retry_due_;        // no read before
    std::uint32_t           read_failures_ = 0;
    std::uint64_t           reads_ended_ = 0; // of changes
    revision                revision_ = 0;    // changes were read up to it
    bool                    loaded_ = false;  // a first read has succeeded
};

} // namespace fescuevane::state

#endif
