// Purpose: what a process knows of a shard.
#ifndef FESCUEVANE_ENTRY_SHARD_STATUS_HPP
#define FESCUEVANE_ENTRY_SHARD_STATUS_HPP

#include "state/shard_owner.hpp"

#include <cstdint>

namespace fescuevane::entry
{

struct shard_status
{
    state::shard_owner const owner_;
    bool const               ready_ = false; // takes work
    std::uint64_t const      queued_tasks_ = 0;
    std::uint64_t const      free_slots_ = 0;

    friend bool operator==(shard_status const&, shard_status const&) = default;
};

} // namespace fescuevane::entry

#endif
