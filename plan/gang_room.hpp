// Purpose: free capacity of a shard for the tasks of a gang.
#ifndef FESCUEVANE_PLAN_GANG_ROOM_HPP
#define FESCUEVANE_PLAN_GANG_ROOM_HPP

#include <cstdint>

namespace fescuevane::plan
{

// In tasks, on targets that the policy service is known to allow.
struct gang_room
{
    std::uint32_t const free_ = 0;  // now, with or without tickets
    std::uint32_t const later_ = 0; // once all but long-running work has ended

    friend bool operator==(gang_room const&, gang_room const&) = default;
};

} // namespace fescuevane::plan

#endif
