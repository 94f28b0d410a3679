// Purpose: state that hosts report to each other.
#ifndef FESCUEVANE_CELL_HEARTBEAT_HPP
#define FESCUEVANE_CELL_HEARTBEAT_HPP

#include "cell/shard_load.hpp"
#include "core/ids.hpp"
#include "core/resources.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace fescuevane::cell
{

struct heartbeat
{
    host_id                 host_;
    std::uint64_t           incarnation_ = 0;
    bool                    store_ok_ = true; // the sender reaches the store
    bool                    stopping_ = false;
    std::vector<shard_load> shards_;             // owned by the sender
    std::uint64_t           config_version_ = 0; // in force there, 0: none
    // Of that version. Only for a host without the store that is behind it.
    std::map<organisation_id, resources> limits_;

    // Expected time until the policy service has answered the requests of the
    // sender; none: not reported.
    std::optional<std::int64_t> advice_wait_micros_;

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

} // namespace fescuevane::cell

#endif
