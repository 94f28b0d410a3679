// Purpose: what a process knows of a target.
#ifndef FESCUEVANE_ENTRY_TARGET_STATUS_HPP
#define FESCUEVANE_ENTRY_TARGET_STATUS_HPP

#include "core/ids.hpp"
#include "core/shard_id.hpp"

#include <string>

namespace fescuevane::entry
{

struct target_status
{
    target_id const   target_;
    rack_id const     rack_;
    shard_id const    shard_;
    std::string const state_; // "listed", "attached", "unreached", "leaving"

    friend bool operator==(target_status const&,
                           target_status const&) = default;
};

} // namespace fescuevane::entry

#endif
