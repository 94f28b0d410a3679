// Purpose: command: open a link to a target under an epoch.
#ifndef FESCUEVANE_ENTRY_ATTACH_TARGET_HPP
#define FESCUEVANE_ENTRY_ATTACH_TARGET_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::entry
{

// Replaces an earlier link to the same target.
struct attach_target
{
    target_id const     target_;
    std::string const   address_;
    shard_id const      shard_;
    epoch const         epoch_ = 0;
    std::uint64_t const attachment_ = 0;   // grows with each link of a process
    std::int64_t const  lease_micros_ = 0; // of the first batch

    friend bool operator==(attach_target const&,
                           attach_target const&) = default;
};

} // namespace fescuevane::entry

#endif
