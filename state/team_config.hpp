// Purpose: configuration of one team.
#ifndef FESCUEVANE_STATE_TEAM_CONFIG_HPP
#define FESCUEVANE_STATE_TEAM_CONFIG_HPP

#include "core/ids.hpp"
#include "core/resources.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace fescuevane::state
{

// Keys are stored as stable hashes only, so that reading the configuration back
// reveals none.
struct team_config
{
    team_id const                  team_;
    std::set<std::string> const    key_hashes_; // hash_key of each granted key
    std::int64_t const             share_ = 1;  // weight, 1 to 1,000,000
    std::optional<resources> const limit_;      // fleet-wide; none: no limit

    friend bool operator==(team_config const&, team_config const&) = default;
};

} // namespace fescuevane::state

#endif
