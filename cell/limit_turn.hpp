// Purpose: the claim to an organisation's limit that is served.
#ifndef FESCUEVANE_CELL_LIMIT_TURN_HPP
#define FESCUEVANE_CELL_LIMIT_TURN_HPP

#include "core/shard_id.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct limit_turn
{
    shard_id     shard_; // that has the claim
    std::int64_t since_unix_ms_ = 0;
    std::int64_t wanted_ = 0; // thousandths, with what the shard uses

    friend bool operator==(limit_turn const&, limit_turn const&) = default;
};

} // namespace fescuevane::cell

#endif
