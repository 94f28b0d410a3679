// Purpose: the claim to an organisation's limit that is served now.
#ifndef FESCUEVANE_CELL_ACTIVE_LIMIT_CLAIM_HPP
#define FESCUEVANE_CELL_ACTIVE_LIMIT_CLAIM_HPP

#include "core/shard_id.hpp"

#include <cstdint>

namespace fescuevane::cell
{

struct active_limit_claim
{
    shard_id     shard_; // where the claiming work waits
    std::int64_t since_unix_ms_ = 0;
    std::int64_t wanted_ = 0; // thousandths of the limit, with those in use

    friend bool operator==(active_limit_claim const&,
                           active_limit_claim const&) = default;
};

} // namespace fescuevane::cell

#endif
