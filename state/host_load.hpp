// Purpose: a live host as a candidate for shards.
#ifndef FESCUEVANE_STATE_HOST_LOAD_HPP
#define FESCUEVANE_STATE_HOST_LOAD_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <map>

namespace fescuevane::state
{

// Working value of the claim system; counts grow as shards are assigned.
struct host_load
{
    domain_id                          domain_;
    std::map<domain_id, std::uint32_t> shards_; // owned, by failure domain

    std::uint32_t count_all() const;
};

} // namespace fescuevane::state

#endif
